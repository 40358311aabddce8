#pragma once

#include "libcontrol/run_command.h"

#include <string>

namespace chivevane::control {

/// Prints where a request would go now and why, as one host or all hosts see it. `location` is a
/// URL or a path. Only the digest of a key is sent.
command_result show_explanation(const std::string& method, const std::string& location,
                                const command_options& options, const session& client);

} // namespace chivevane::control
