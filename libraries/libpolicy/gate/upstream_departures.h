#pragma once

#include "libpolicy/gate/gate_events.h"
#include "libpolicy/reducer_context.h"
#include "libwire/recovery_messages.h"

#include <span>

namespace chivevane {

struct host_state;

}

/// Keeps upstreams of this gate out of use once they said that they leave, also when an earlier
/// process of this host was told so; see membership/departures.h.
namespace chivevane::gate {

/// Records the phase of an announced upstream, and returns the announcement with the phase that
/// counts: a run that has left does not serve again.
upstream_announcement with_known_departure(host_state& self, reducer_context& context,
                                           upstream_announcement announcement);

/// Merges departures that a peer reported, and takes upstreams of this gate out of use that a peer
/// knows as departed.
void on_departures_reported(host_state& self, reducer_context& context,
                            std::span<const departure_entry> entries);

} // namespace chivevane::gate
