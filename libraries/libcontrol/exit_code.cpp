#include "libcontrol/exit_code.h"

namespace chivevane::control {

exit_code exit_code_of(error_kind kind)
{
    switch (kind) {
    case error_kind::conflict:
        return exit_code::conflict;
    case error_kind::unavailable:
        return exit_code::unreachable;
    case error_kind::unknown_outcome:
        return exit_code::unknown;
    case error_kind::syntax:
    case error_kind::unknown_field:
    case error_kind::missing_field:
    case error_kind::wrong_type:
    case error_kind::out_of_range:
    case error_kind::dangling:
    case error_kind::too_large:
        return exit_code::bad_input;
    case error_kind::duplicate:
    case error_kind::not_found:
    case error_kind::unauthenticated:
    case error_kind::malformed:
        return exit_code::refused;
    }
    return exit_code::refused;
}

} // namespace chivevane::control
