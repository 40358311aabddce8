#pragma once

#include "libdocument/caller_limits.h"
#include "libhttp/traffic_server.h"
#include "libpolicy/configuration/configuration_state.h"

namespace chivevane {

/// The widest of each limit over all documents in force; 0 where none tells one. All documents
/// share the listener for callers.
caller_limits widest_caller_limits(const configuration_state& configuration);

/// Puts limits in force on a listener; `defaults` where they are 0.
void apply_caller_limits(traffic_server& server, const traffic_server_options& defaults,
                         const caller_limits& limits);

} // namespace chivevane
