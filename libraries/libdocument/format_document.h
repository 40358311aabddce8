#pragma once

#include "libdocument/document.h"

#include <string>

namespace chivevane {

/// The canonical YAML of `rules`. `parse_document` reads the same document from it.
std::string format_document(const document& rules);

/// The fields of a service besides its name, as inside a YAML flow map.
std::string format_service(const service_policy& service);

/// The targets of a route as a YAML flow list.
std::string format_targets(const std::vector<route_target>& targets);

/// One route as a YAML flow map.
std::string format_route(const route& entry);

/// One key as a YAML flow map.
std::string format_key(const api_key& key);

/// `text` as a YAML scalar, quoted where a plain one would be read otherwise.
std::string format_scalar(const std::string& text);

} // namespace chivevane
