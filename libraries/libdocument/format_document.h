#pragma once

#include "libdocument/document.h"

#include <string>

namespace chivevane {

/// Returns the canonical YAML of `parsed_document`. `parse_document` reads an equal document from
/// it.
std::string format_document(const document& parsed_document);

/// Formats the fields of a service other than its name, as they are written in a YAML flow map.
std::string format_service(const service_policy& service);

/// Formats the targets of a route as a YAML flow list.
std::string format_targets(const std::vector<route_target>& targets);

/// Formats a route as a YAML flow map.
std::string format_route(const route& entry);

/// Formats a key as a YAML flow map.
std::string format_key(const api_key& key);

/// Formats `text` as a YAML scalar. The scalar is quoted if a YAML parser could read the plain text
/// as something else.
std::string format_scalar(const std::string& text);

} // namespace chivevane
