#pragma once

#include "libbase/instant.h"
#include "libpolicy/gate/circuit.h"
#include "libpolicy/gate/gate_events.h"
#include "libpolicy/gate/health_check.h"
#include "libpolicy/gate/known_revisions.h"
#include "libpolicy/gate/quarantine.h"
#include "libpolicy/gate/tombstones.h"
#include "libpolicy/identifiers.h"
#include "libpolicy/latency_tracker.h"
#include "libwire/attempt_id.h"
#include "libwire/fate_messages.h"
#include "libwire/host_address.h"
#include "libwire/link_head.h"
#include "libwire/request_head.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace chivevane {

/// An upstream behind this gate.
struct local_upstream {
    upstream_announced m_latest;
    instant m_expires_at;        ///< Gone unless it announces itself before.
    double m_repeat_balance = 0; ///< Attempts that may be repeated on a fresh connection.
    upstream_circuit m_circuit;
    latency_tracker m_latencies;
    instant m_next_health_check; ///< It is not asked before.
    bool m_is_replaced = false;  ///< It answered that it is another; it must announce itself anew.
};

/// How far an attempt has come at the gate.
enum class gate_phase : std::uint8_t {
    held,     ///< Suspected: waits for the end of another with the same fingerprint.
    queued,   ///< Waits for its turn; was not handed over.
    running,  ///< Handed over; no answer yet.
    relaying, ///< The answer is being written to the ingress.
};

/// Whether an attempt may be sent to its upstream once more.
enum class gate_repeat : std::uint8_t { forbidden, allowed, used };

/// An attempt that the gate has not finished.
struct gate_attempt {
    exchange_id m_exchange = 0; ///< 0 once nobody waits for the answer.
    transfer_id m_transfer = 0; ///< 0 until handed over.
    link_head m_link;
    request_head m_head; ///< As the upstream gets it.
    gate_phase m_phase = gate_phase::queued;
    gate_repeat m_repeat = gate_repeat::forbidden;
    instant m_deadline;
    instant m_handed_over_at;
    instant m_due = instant::max(); ///< When the gate next looks at it; see `gate_state::m_due`.
    duration m_latency{};           ///< From hand-over to the head of the answer.
    bool m_has_failed = false;      ///< The upstream answered with a server error.
    bool m_was_load_refused = false;
    bool m_is_trial = false;          ///< Tests whether the upstream still fails.
    bool m_is_silent = false;         ///< Has waited for an answer for suspiciously long.
    bool m_is_judged = false;         ///< The circuit has taken its outcome in.
    std::uint64_t m_upstream_run = 0; ///< Of the upstream, at the hand-over.
};

/// When an attempt is due for a look.
struct attempt_due {
    instant m_at;
    attempt_id m_attempt;

    auto operator<=>(const attempt_due&) const = default;
};

/// A crash report that is repeated, since datagrams get lost.
struct crash_announcement {
    crash_report m_report;
    std::string m_service;
    std::uint32_t m_sends_left = 0;
    instant m_next_send;
};

/// The gate of this host.
struct gate_state {
    std::map<std::string, local_upstream, std::less<>> m_upstreams; ///< By endpoint.
    std::map<attempt_id, gate_attempt> m_attempts;
    tombstone_table m_tombstones;
    std::set<attempt_due> m_due; ///< The running attempts in order of time.
    std::unordered_map<exchange_id, attempt_id> m_by_exchange;
    std::unordered_map<transfer_id, attempt_id> m_by_transfer;
    std::map<transfer_id, health_check> m_health_checks; ///< Under way.
    quarantine_state m_quarantine;
    known_revisions m_revisions;
    std::deque<crash_announcement> m_announcements;
    bool m_is_leaving = false;
};

} // namespace chivevane
