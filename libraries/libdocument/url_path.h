#pragma once

#include "libdocument/yaml_reader.h"

#include <string_view>

namespace chivevane {

/// Returns whether `path` is a URL path: it begins with a slash, has 1,024 characters at most, and
/// consists of visible ASCII without query, fragment and dot segments.
bool is_url_path(std::string_view path);

/// Adds a fault at `field` unless `path` is empty or a URL path.
void check_url_path(yaml_map_reader& reader, std::string_view field, std::string_view path);

} // namespace chivevane
