#pragma once

#include "libbase/error.h"

namespace chivevane::control {

/// What chivevanectl tells the shell that called it. Scripts rely on the numbers.
enum class exit_code {
    done = 0,
    refused = 1,     ///< The host refused the request: token, name, organisation, key.
    bad_input = 2,   ///< Wrong command line, or a document with faults; nothing was sent.
    conflict = 3,    ///< Somebody else changed the document first; nothing was changed.
    unreachable = 4, ///< No host could be reached; nothing was changed.
    unknown = 5,     ///< The change may or may not have been made.
    incomplete = 6,  ///< The revision is not in force on every host yet.
};

/// The exit code for a failure of `kind` while talking to a host.
exit_code exit_code_of(error_kind kind);

} // namespace chivevane::control
