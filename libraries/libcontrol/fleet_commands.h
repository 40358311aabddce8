#pragma once

#include "libcontrol/run_command.h"

namespace chivevane::control {

/// Prints on which hosts the newest revision of a document is in force, and waits for all of them.
command_result show_rollout(const std::string& name, const command_options& options,
                            const session& access);

/// Prints the time lines of all hosts in one order.
command_result show_timeline(const command_options& options, const session& access);

} // namespace chivevane::control
