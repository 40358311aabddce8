#pragma once

#include "libdocument/route.h"
#include "libdocument/unique_names.h"
#include "libdocument/yaml_reader.h"

namespace chivevane {

/// Reads one route.
route read_route(const yaml_place& place, fault_list& faults);

/// Adds what `entry` matches to `matches`; a fault where another route matches the same requests,
/// so that the order of routes never matters.
void add_route_matches(const route& entry, unique_names& matches, const yaml_place& place,
                       fault_list& faults);

} // namespace chivevane
