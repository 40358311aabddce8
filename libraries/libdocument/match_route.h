#pragma once

#include "libdocument/document.h"

#include <string_view>

namespace chivevane {

/// The route of `rules` for a request: the longest path prefix that ends at a segment boundary, a
/// named host before any host. Null when none fits. `path` is without the query.
const route* match_route(const document& rules, std::string_view host, std::string_view method,
                         std::string_view path);

} // namespace chivevane
