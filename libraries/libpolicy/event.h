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

/// The moment set by `wake_up_at` has come.
struct timer_fired {
    bool operator==(const timer_fired&) const = default;
};

/// The process was told to leave: refuse new work, finish what is in progress.
struct leave_requested {
    bool operator==(const leave_requested&) const = default;
};

using event_body =
    std::variant<timer_fired, leave_requested, inbound_request, inbound_gone, transfer_head,
                 transfer_ended, datagram_received, store_response, document_submitted,
                 document_fetched, upstream_announced, host_declared_dead>;

/// One input of the reducer. Time comes in with it: the reducer has no clock of its own.
struct event {
    instant m_at;               ///< Monotonic, for all deadlines.
    std::int64_t m_wall_ms = 0; ///< Milliseconds since the Unix epoch, for stamps only.
    event_body m_body;
};

} // namespace chivevane
