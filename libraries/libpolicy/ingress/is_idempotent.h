#pragma once

#include <string_view>

namespace chivevane {

/// Whether a request with this method has the same effect if it runs twice (RFC 9110
/// section 9.2.2).
bool is_idempotent(std::string_view method);

} // namespace chivevane
