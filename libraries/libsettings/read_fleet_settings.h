#pragma once

#include "libdocument/yaml_reader.h"
#include "libpolicy/host_settings.h"

#include <string_view>

namespace chivevane {

/// Returns whether the field holds the word `second`. An absent field is treated as `first`, and
/// any other word is reported as an error.
bool read_choice(yaml_map_reader& reader, std::string_view field, std::string_view first,
                 std::string_view second);

/// Reads the settings for the service, placement, rate limits, overload, retries and gossip.
void read_fleet_settings(yaml_map_reader& reader, host_settings& policy, fault_list& faults);

} // namespace chivevane
