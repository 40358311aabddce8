#include "libwire/attempt_id.h"

#include <charconv>
#include <fmt/format.h>

namespace chivevane {

namespace {

/// Cuts the last `/`-separated number off `text`.
template <typename Number>
bool take_last_number(std::string_view& text, Number& number)
{
    const auto slash = text.rfind('/');
    if (slash == std::string_view::npos) {
        return false;
    }
    const auto digits = text.substr(slash + 1);
    const auto* end = digits.data() + digits.size();
    const auto [stop, problem] = std::from_chars(digits.data(), end, number);
    text = text.substr(0, slash);
    return problem == std::errc{} && stop == end && !digits.empty();
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
    if (!take_last_number(text, id.m_attempt) || !take_last_number(text, id.m_request) ||
        !take_last_number(text, id.m_ingress.m_incarnation) || text.empty()) {
        return std::nullopt;
    }
    id.m_ingress.m_name = text;
    return id;
}

} // namespace chivevane
