#pragma once

#include "libbase/instant.h"
#include "libpolicy/gate/circuit.h"
#include "libpolicy/gate/final_refusals.h"
#include "libpolicy/gate/gate_events.h"
#include "libpolicy/gate/health_check.h"
#include "libpolicy/gate/known_revisions.h"
#include "libpolicy/gate/quarantine.h"
#include "libpolicy/gate/tombstones.h"
#include "libpolicy/identifiers.h"
#include "libpolicy/latency_tracker.h"
#include "libwire/attempt_id.h"
#include "libwire/attempt_messages.h"
#include "libwire/attempt_metadata.h"
#include "libwire/host_address.h"
#include "libwire/request_head.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace chivevane {

/// Limits the log lines about attempts that were refused while they were queued.
struct shed_log {
    instant m_next_line;          ///< No line is written before.
    std::uint64_t m_left_out = 0; ///< Attempts without a line since the last one.
};

/// State of an upstream behind this gate.
struct local_upstream {
    upstream_announcement m_latest; ///< Latest announcement.
    instant m_expires_at; ///< The upstream is removed then, unless it announces itself before.
    double m_repeat_budget = 0; ///< Attempts that may be sent again on a new connection.
    upstream_circuit m_circuit;
    latency_tracker m_latencies;
    instant m_next_health_check; ///< No health check is sent before.
    /// Another endpoint answered at its address (status 421). It gets no attempts until it
    /// announces itself again.
    bool m_is_replaced = false;
    /// An answer of this run says that the upstream is leaving. Announcements do not change that,
    /// since they may be older.
    bool m_has_said_leaving = false;
    std::optional<double> m_named_rate; ///< Requests per second that it accepts, by its answers.
    instant m_rate_named_at;            ///< When an answer last named a rate.
    shed_log m_shed_log;
};

/// Phase of an attempt at the gate.
enum class gate_phase : std::uint8_t {
    held,     ///< It is suspected and waits until another with its fingerprint has ended.
    queued,   ///< It waits in the admission queue and was not handed over.
    running,  ///< It was handed over to the upstream, and no answer has begun.
    relaying, ///< The answer has begun and is passed on to the ingress.
};

/// Whether the gate may send an attempt to its upstream a second time.
enum class gate_repeat : std::uint8_t { forbidden, allowed, used };

/// State of an attempt that the gate has not finished.
struct gate_attempt {
    exchange_id m_exchange = 0; ///< 0 once the ingress has closed its connection.
    transfer_id m_transfer = 0; ///< 0 until the hand-over.
    attempt_metadata m_metadata;
    request_head m_head; ///< Head for the upstream, before the gate's own fields are added.
    gate_phase m_phase = gate_phase::queued;
    gate_repeat m_repeat = gate_repeat::forbidden;
    instant m_deadline;
    instant m_handed_over_at;
    instant m_due = instant::max(); ///< Time of the next check; see `gate_state::m_due`.
    duration m_latency{};           ///< Time from the hand-over to the head of the answer.
    bool m_has_failed = false;      ///< The upstream answered with a server error.
    bool m_is_load_refused = false; ///< The upstream answered 429 or 503.
    bool m_is_trial = false;        ///< It is the trial of a half-open circuit.
    bool m_is_silent = false;       ///< It has no answer for several times the usual latency.
    bool m_is_stalled = false;      ///< It is silent, and the circuit was not closed after that.
    bool m_is_outcome_recorded = false; ///< The circuit has its outcome.
    std::uint64_t m_upstream_run = 0;   ///< `upstream_announcement::m_run` at the hand-over.
};

/// Time at which an attempt is next checked.
struct scheduled_check {
    instant m_at;
    attempt_id m_attempt;

    auto operator<=>(const scheduled_check&) const = default;
};

/// The hosts to which a crash report goes.
enum class crash_report_receivers : std::uint8_t {
    service, ///< Those with upstreams of the service of the request.
    peers    ///< In addition those that get this host's record, as a quarantine must last although
             ///< all hosts of the service restart.
};

/// Crash report that is sent several times, since datagrams get lost.
struct pending_crash_report {
    crash_report m_report;
    std::string m_service;
    crash_report_receivers m_receivers = crash_report_receivers::service;
    std::uint32_t m_sends_left = 0;
    instant m_next_send;
};

/// State of this host's gate.
struct gate_state {
    std::map<std::string, local_upstream, std::less<>> m_upstreams; ///< By endpoint.
    std::map<attempt_id, gate_attempt> m_attempts;
    tombstone_table m_tombstones;
    final_refusals m_final_refusals;
    std::set<scheduled_check> m_due; ///< Running and held attempts in order of their next check.
    std::unordered_map<exchange_id, attempt_id> m_by_exchange;
    std::unordered_map<transfer_id, attempt_id> m_by_transfer;
    std::map<transfer_id, health_check> m_health_checks; ///< Unanswered checks.
    quarantine_state m_quarantine;
    known_revisions m_revisions;
    std::deque<pending_crash_report> m_pending_crash_reports;
    bool m_is_leaving = false; ///< The host shuts down: new attempts are refused.
};

} // namespace chivevane
