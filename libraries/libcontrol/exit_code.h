#pragma once

#include "libbase/error.h"

namespace chivevane::control {

/// The exit codes of chivevanectl. Scripts depend on the numbers.
enum class exit_code {
    done = 0,
    refused = 1,     ///< The token, document name, organisation or key was rejected.
    bad_input = 2,   ///< The command line or document is invalid; nothing was changed.
    conflict = 3,    ///< Another write changed the document first; this one did nothing.
    unreachable = 4, ///< No host could be reached; nothing was changed.
    unknown = 5,     ///< The change may or may not have been made.
    incomplete = 6,  ///< The revision is not in force everywhere, or a host is missing.
};

/// Returns the exit code for an error of `kind` in a command.
exit_code exit_code_of(error_kind kind);

} // namespace chivevane::control
