#pragma once

#include "libcontrol/run_command.h"

#include <string>
#include <vector>

namespace chivevane::control {

/// Prints on which hosts the newest revision of a document is in force. Polls until that is every
/// host that is not dead, or until the time in `options` has passed.
command_result show_rollout(const std::string& name, const command_options& options,
                            const session& client);

/// Returns the administration addresses of the hosts that are not known to be dead.
result<std::vector<std::string>> live_host_addresses(const session& client);

/// Prints the timelines of all hosts, merged by timestamp.
command_result show_timeline(const command_options& options, const session& client);

} // namespace chivevane::control
