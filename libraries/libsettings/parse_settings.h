#pragma once

#include "libbase/result.h"
#include "libsettings/node_settings.h"

#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chivevane {

/// Gives the content of the file that a `..._file` setting names, or why it cannot be read.
using file_reader = std::function<result<std::string>(const std::string& path)>;

/// Reads the YAML settings of a host. Either all settings are valid, or every fault is returned
/// with its line, path and remedy. Files are read through `read_file` only.
std::variant<node_settings, std::vector<error>> parse_settings(std::string_view text,
                                                               const file_reader& read_file);

/// Reads `ip:port`, or `[ip]:port` for IPv6.
result<ip_endpoint> parse_endpoint(std::string_view text);

} // namespace chivevane
