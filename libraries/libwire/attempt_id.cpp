#include "libwire/attempt_id.h"

#include <charconv>
#include <fmt/format.h>

namespace chivevane {

namespace {

/// Parses the number after the last `/` of `text` into `number` and removes both from `text`.
/// Returns false if there is no `/` or no valid number after it.
template <typename Number>
bool split_trailing_number(std::string_view& text, Number& number)
{
    const auto slash = text.rfind('/');
    if (slash == std::string_view::npos) {
        return false;
    }
    const auto digits = text.substr(slash + 1);
    const auto* end = digits.data() + digits.size();
    const auto [parsed_end, error_code] = std::from_chars(digits.data(), end, number);
    text = text.substr(0, slash);
    return error_code == std::errc{} && parsed_end == end && !digits.empty();
}

} // namespace

std::string to_string(const attempt_id& id)
{
    return fmt::format("{}/{}/{}/{}", id.m_ingress.m_name, id.m_ingress.m_incarnation, id.m_request,
                       id.m_attempt);
}

std::optional<attempt_id> parse_attempt_id(std::string_view text)
{
    attempt_id id;
    if (!split_trailing_number(text, id.m_attempt) || !split_trailing_number(text, id.m_request) ||
        !split_trailing_number(text, id.m_ingress.m_incarnation) || text.empty()) {
        return std::nullopt;
    }
    id.m_ingress.m_name = text;
    return id;
}

} // namespace chivevane
