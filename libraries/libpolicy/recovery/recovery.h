#pragma once

#include "libpolicy/reducer_context.h"
#include "libwire/host_identity.h"
#include "libwire/recovery_messages.h"

namespace chivevane {

struct host_state;
struct recovery_state;

} // namespace chivevane

/// Recovers the state on which a promise to callers or upstreams rests after a restart.
///
/// A host replicates such state to its peers when it changes. A process that has started asks a few
/// of them for all that they keep, until enough of them have sent it or a time limit is over: after
/// a start of the whole fleet no peer has anything to send. It serves in the meantime; what it
/// learns takes effect at once. docs/design/restarts.md lists the state.
namespace chivevane::recovery {

/// Starts the recovery of a process.
void start(recovery_state& state, const reducer_context& context);

/// Asks peers that have not answered yet, if it is time to, and ends the recovery once it is
/// complete or its time limit is over.
void on_timer(host_state& self, reducer_context& context);

/// Sends what this host remembers to a peer that has started.
void on_request(const host_state& self, reducer_context& context, const recovery_request& request);

/// Merges what a peer remembers.
void on_response(host_state& self, reducer_context& context, const host_identity& sender,
                 const recovery_response& response);

/// When `on_timer` is due.
instant next_wakeup(const recovery_state& state);

} // namespace chivevane::recovery
