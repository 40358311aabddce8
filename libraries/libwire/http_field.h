#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace chivevane {

/// A header field of an HTTP message (RFC 9110, section 5). Field names are case-insensitive.
struct http_field {
    std::string m_name;
    std::string m_value;

    bool operator==(const http_field&) const = default;
};

/// Compares two field names or other tokens, ignoring ASCII case.
bool equal_ignoring_case(std::string_view left, std::string_view right);

/// Returns the value of the first field called `name`, or an empty optional if there is none.
std::optional<std::string_view> find_field(std::span<const http_field> fields,
                                           std::string_view name);

} // namespace chivevane
