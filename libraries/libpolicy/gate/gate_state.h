#pragma once

#include "libbase/instant.h"
#include "libpolicy/gate/gate_events.h"
#include "libpolicy/identifiers.h"
#include "libwire/attempt_id.h"
#include "libwire/fate_messages.h"
#include "libwire/link_head.h"
#include "libwire/request_head.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace chivevane {

/// An upstream behind this gate.
struct local_upstream {
    upstream_announced m_latest;
    instant m_expires_at; ///< Gone unless it announces itself before.
};

/// How far an attempt has come at the gate.
enum class gate_phase : std::uint8_t {
    queued,   ///< Waits for its turn; was not handed over.
    running,  ///< Handed over; no answer yet.
    relaying, ///< The answer is being written to the ingress.
};

/// An attempt that the gate has not finished.
struct gate_attempt {
    exchange_id m_exchange = 0;
    transfer_id m_transfer = 0; ///< 0 while queued.
    link_head m_link;
    request_head m_head; ///< As the upstream gets it.
    gate_phase m_phase = gate_phase::queued;
    instant m_deadline;
    instant m_handed_over_at;
    duration m_latency{}; ///< From hand-over to the head of the answer.
};

/// What stays of a finished or voided attempt, so that a late copy is refused.
struct attempt_tombstone {
    attempt_fate m_fate = attempt_fate::not_run;
    instant m_expires_at;
};

/// The gate of this host.
struct gate_state {
    std::map<std::string, local_upstream, std::less<>> m_upstreams; ///< By endpoint.
    std::map<attempt_id, gate_attempt> m_attempts;
    std::map<attempt_id, attempt_tombstone> m_tombstones;
    std::unordered_map<exchange_id, attempt_id> m_by_exchange;
    std::unordered_map<transfer_id, attempt_id> m_by_transfer;
    bool m_is_leaving = false;
};

} // namespace chivevane
