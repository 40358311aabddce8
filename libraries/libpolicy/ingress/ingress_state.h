#pragma once

#include "libbase/instant.h"
#include "libdocument/document.h"
#include "libpolicy/effect.h"
#include "libpolicy/identifiers.h"
#include "libpolicy/ingress/resume.h"
#include "libpolicy/ingress/retry_budget.h"
#include "libpolicy/latency_tracker.h"
#include "libpolicy/limits/rate_limit.h"
#include "libpolicy/placement/destination_view.h"
#include "libpolicy/refusal.h"
#include "libpolicy/routing/routing.h"
#include "libwire/attempt_id.h"
#include "libwire/link_head.h"
#include "libwire/request_head.h"
#include "libwire/upstream_id.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivevane {

/// How far an attempt has come, as its ingress sees it.
enum class attempt_phase : std::uint8_t {
    sent,     ///< Its answer is awaited.
    voiding,  ///< Its connection is gone; the gate is asked for its fate.
    answered, ///< Its answer is being relayed.
    ended,    ///< Nothing more is awaited of it.
};

/// One try to have a request answered by one upstream.
struct ingress_attempt {
    attempt_id m_id;
    transfer_id m_transfer = 0;
    routing::choice m_destination;
    std::int64_t m_gate_clock = 0; ///< As sent with the attempt; 0 if none was known.
    bool m_may_be_copied = false;  ///< Sent without a clock, so that a late copy may still run.
    instant m_started_at;
    link_waiting m_waiting = link_waiting::allowed;
    link_insistence m_insistence = link_insistence::none;
    bool m_is_large = false; ///< Its answer is likely to be: it may rather wait than go far.
    attempt_phase m_phase = attempt_phase::sent;
    request_outcome m_outcome = request_outcome::unknown; ///< Once ended.
    instant m_next_inquiry = instant::max();              ///< When its gate is next asked for it.
    duration m_patience{};                  ///< Wait for an answer before the first inquiry.
    std::uint32_t m_inquiries = 0;          ///< Sent since the gate last gave a sign of life.
    bool m_was_answered_once = false;       ///< The gate says so, but no answer has come.
    std::optional<refusal_kind> m_ended_by; ///< Why it got no answer, once ended.
    bool m_reached_upstream = true;         ///< False once its gate has told that it did not.
};

/// How far a request has come at the ingress.
enum class ingress_phase : std::uint8_t {
    awaiting_token,
    awaiting_answer,
    relaying,
    resuming, ///< A part of the answer was relayed; the rest is asked of another upstream.
};

/// A request that this host owns until its caller has the whole answer or a refusal.
struct ingress_request {
    exchange_id m_exchange = 0;
    std::uint64_t m_number = 0; ///< Counts the requests of this run.
    request_head m_head;        ///< As it may leave this process.
    std::uint64_t m_body_hash = 0;
    std::uint64_t m_fingerprint = 0;
    std::shared_ptr<const document> m_rules; ///< Keeps `m_route` alive.
    const route* m_route = nullptr;
    std::string m_service; ///< The one of the route's that gets this request.
    std::uint32_t m_priority = 0;
    std::uint64_t m_revision = 0;
    std::string m_organisation; ///< Empty on routes open to all.
    rate_limit m_limit;
    routing::repeatability m_repeatability = routing::repeatability::not_idempotent;
    instant m_arrived_at;
    instant m_deadline; ///< Until the head of the answer, or of the rest of it.
    instant m_hedge_at = instant::max();
    instant m_due = instant::max(); ///< See `ingress_state::m_due`.
    ingress_phase m_phase = ingress_phase::awaiting_token;
    std::vector<ingress_attempt> m_attempts;
    std::uint32_t m_extra_attempts = 0; ///< Allowed beyond the route's, as no upstream saw them.
    std::string m_strike;               ///< The upstream's run that broke off on this request.
    relayed_answer m_answer;
};

/// When a request is due for a look.
struct request_due {
    instant m_at;
    exchange_id m_exchange = 0;

    auto operator<=>(const request_due&) const = default;
};

/// The latest reading of a gate's clock.
struct gate_reading {
    std::uint64_t m_incarnation = 0;
    std::int64_t m_clock = 0; ///< Microseconds on the gate's clock.
    instant m_learned_at;
};

/// The ingress of this host.
struct ingress_state {
    std::map<exchange_id, ingress_request> m_requests;
    std::unordered_map<transfer_id, exchange_id> m_by_transfer;
    std::unordered_map<std::uint64_t, exchange_id> m_by_number; ///< By `ingress_request::m_number`.
    std::set<request_due> m_due;                                ///< In order of time.
    std::map<std::string, gate_reading, std::less<>> m_gate_readings; ///< By host name.
    retry_budget m_retry_budget;
    destination_view m_destinations;
    latency_tracker m_latencies;
    std::uint64_t m_last_request = 0; ///< Counts requests for attempt ids.
    bool m_is_leaving = false;
};

} // namespace chivevane
