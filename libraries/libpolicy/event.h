#pragma once

#include "libbase/instant.h"
#include "libpolicy/configuration/configuration_events.h"
#include "libpolicy/gate/gate_events.h"
#include "libpolicy/identifiers.h"
#include "libpolicy/limits/limits_events.h"
#include "libpolicy/membership/membership_events.h"
#include "libpolicy/transfer_events.h"

#include <cstdint>
#include <variant>

namespace chivevane {

/// The time that `next_wakeup` returned has come.
struct timer_fired {
    bool operator==(const timer_fired&) const = default;
};

/// The process was asked to shut down: it refuses new requests and finishes those in progress. A
/// second `leave_requested` ends it at once.
struct leave_requested {
    bool operator==(const leave_requested&) const = default;
};

using event_body =
    std::variant<timer_fired, leave_requested, inbound_request, inbound_disconnected, transfer_head,
                 transfer_ended, datagram_received, store_response, document_submitted,
                 document_fetched, upstream_announcement, host_declared_dead>;

/// One input of the reducer. It carries the time, because the reducer reads no clock.
struct event {
    instant m_at;               ///< Monotonic time, used for all deadlines.
    std::int64_t m_wall_ms = 0; ///< Milliseconds since the Unix epoch, used for timestamps only.
    event_body m_body;
};

} // namespace chivevane
