#include "libbase/error.h"

#include <fmt/format.h>

namespace chivevane {

std::string_view to_string(error_kind kind)
{
    switch (kind) {
    case error_kind::syntax:
        return "syntax";
    case error_kind::unknown_field:
        return "unknown-field";
    case error_kind::missing_field:
        return "missing-field";
    case error_kind::wrong_type:
        return "wrong-type";
    case error_kind::out_of_range:
        return "out-of-range";
    case error_kind::duplicate:
        return "duplicate";
    case error_kind::dangling:
        return "dangling";
    case error_kind::too_large:
        return "too-large";
    case error_kind::not_found:
        return "not-found";
    case error_kind::conflict:
        return "conflict";
    case error_kind::unauthenticated:
        return "unauthenticated";
    case error_kind::unavailable:
        return "unavailable";
    case error_kind::unknown_outcome:
        return "unknown-outcome";
    case error_kind::malformed:
        return "malformed";
    }
    return "invalid";
}

std::string describe(const error& failure)
{
    return fmt::format("{}: {} Remedy: {}", to_string(failure.m_kind), failure.m_message,
                       failure.m_remedy);
}

} // namespace chivevane
