#pragma once

#include "libdocument/yaml_reader.h"

#include <string_view>

namespace chivevane {

/// Whether `path` begins with a slash and is visible ASCII without query, fragment and dot
/// segments.
bool is_url_path(std::string_view path);

/// Adds a fault to `field` unless `path` is empty or a path.
void check_url_path(yaml_map_reader& reader, std::string_view field, std::string_view path);

} // namespace chivevane
