#pragma once

#include "libdocument/caller_limits.h"
#include "libhttp/traffic_server.h"
#include "libpolicy/configuration/configuration_state.h"

namespace chivevane {

/// Returns the largest value of each limit over all documents in force, because all documents share
/// the listener for callers. A limit that no document sets is 0.
caller_limits largest_caller_limits(const configuration_state& configuration);

/// Applies limits to a listener. A limit of 0 takes its value from `defaults`.
void apply_caller_limits(traffic_server& server, const traffic_server_options& defaults,
                         const caller_limits& limits);

} // namespace chivevane
