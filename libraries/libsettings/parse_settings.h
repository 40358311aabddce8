#pragma once

#include "libbase/result.h"
#include "libsettings/daemon_settings.h"

#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chivevane {

/// Reads the file that a `..._file` setting names. Returns its content or an error.
using file_reader = std::function<result<std::string>(const std::string& path)>;

/// Parses the YAML settings of a host. Returns the settings if all of them are valid, and otherwise
/// all errors, each with its line, path and remedy. Files that the settings name are read only
/// through `read_file`.
std::variant<daemon_settings, std::vector<error>> parse_settings(std::string_view text,
                                                                 const file_reader& read_file);

/// Parses `ip:port`, or `[ip]:port` for IPv6.
result<ip_endpoint> parse_endpoint(std::string_view text);

} // namespace chivevane
