#pragma once

#include "libdocument/route.h"
#include "libdocument/unique_names.h"
#include "libdocument/yaml_reader.h"

namespace chivevane {

route read_route(const yaml_place& place, fault_list& faults);

/// Adds each combination of host, path prefix and method that `entry` matches to `matches`. A
/// combination that another route already has is a fault, so that the order of routes never
/// matters.
void add_route_matches(const route& entry, unique_names& matches, const yaml_place& place,
                       fault_list& faults);

} // namespace chivevane
