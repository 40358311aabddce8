#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace chivevane {

/// One header field of an HTTP message (RFC 9110 section 5). Names compare without case.
struct http_field {
    std::string m_name;
    std::string m_value;

    bool operator==(const http_field&) const = default;
};

/// Whether two field names or other tokens are equal without regard to ASCII case.
bool equal_ignoring_case(std::string_view left, std::string_view right);

/// The value of the first field called `name`.
std::optional<std::string_view> find_field(std::span<const http_field> fields,
                                           std::string_view name);

} // namespace chivevane
