#include "libwire/http_field.h"

#include <algorithm>

namespace chivevane {

namespace {

char to_lower_ascii(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                : character;
}

} // namespace

bool equal_ignoring_case(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return to_lower_ascii(a) == to_lower_ascii(b); });
}

std::optional<std::string_view> find_field(std::span<const http_field> fields,
                                           std::string_view name)
{
    for (const auto& field : fields) {
        if (equal_ignoring_case(field.m_name, name)) {
            return field.m_value;
        }
    }
    return std::nullopt;
}

} // namespace chivevane
