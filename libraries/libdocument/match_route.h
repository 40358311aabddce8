#pragma once

#include "libdocument/document.h"

#include <string_view>

namespace chivevane {

/// Returns the most specific route of `parsed_document` that matches a request, or null if none
/// matches. A route that names the host takes precedence over one that matches any host; among
/// those, the longest path prefix wins. A prefix matches only at a segment boundary. `path` must
/// not include the query.
const route* match_route(const document& parsed_document, std::string_view host,
                         std::string_view method, std::string_view path);

} // namespace chivevane
