#pragma once

#include <string_view>

namespace chivevane {

/// Whether requests with this method may be run twice without harm (RFC 9110 section 9.2.2).
bool is_idempotent(std::string_view method);

} // namespace chivevane
