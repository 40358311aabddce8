#pragma once

#include "libbase/instant.h"
#include "libdocument/document.h"
#include "libpolicy/effect.h"
#include "libpolicy/identifiers.h"
#include "libpolicy/ingress/relayed_answer.h"
#include "libpolicy/ingress/retry_budget.h"
#include "libpolicy/latency_tracker.h"
#include "libpolicy/limits/rate_limit.h"
#include "libpolicy/placement/destination_records.h"
#include "libpolicy/refusal.h"
#include "libpolicy/routing/routing.h"
#include "libwire/attempt_id.h"
#include "libwire/attempt_metadata.h"
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

/// The phase of an attempt, as its ingress sees it.
enum class attempt_phase : std::uint8_t {
    sent,       ///< The ingress awaits the answer.
    cancelling, ///< Its connection is gone, and the ingress asks the gate to cancel it.
    answered,   ///< The ingress relays its answer to the caller.
    ended,      ///< The attempt can no longer bring an answer.
};

/// One attempt to have a request answered by one upstream.
struct ingress_attempt {
    attempt_id m_id;
    transfer_id m_transfer = 0;
    routing::upstream_location m_destination;
    std::int64_t m_gate_clock = 0;          ///< The gate's clock in microseconds, as sent with the
                                            ///< attempt; 0 if the ingress knew no reading.
    bool m_may_have_late_duplicate = false; ///< Whether it was sent without a clock reading, so
                                            ///< that a late duplicate may still run.
    instant m_started_at;
    queueing_permission m_queueing = queueing_permission::allowed;
    circuit_breaker_mode m_circuit_breaker_mode = circuit_breaker_mode::enforce;
    bool m_has_large_answer = false; ///< Whether its answer is likely to be large. Such an attempt
                                     ///< may rather queue than cross data centres.
    attempt_phase m_phase = attempt_phase::sent;
    request_outcome m_outcome = request_outcome::unknown; ///< Valid once the attempt has ended.
    instant m_next_inquiry = instant::max(); ///< When the next inquiry is sent to its gate.
    duration m_inquiry_delay{}; ///< Time without an answer before the first inquiry. It grows once
                                ///< the gate reports that the attempt runs.
    std::uint32_t m_unanswered_inquiries = 0; ///< Inquiries sent since the gate last responded.
    bool m_is_answer_reported = false; ///< Whether the gate has reported an answer that has not
                                       ///< arrived yet.
    bool m_is_stalled = false; ///< Whether its answer is so late that another attempt is wanted
                               ///< beside it.
    std::optional<refusal_kind> m_end_reason; ///< Why it ended without an answer.
    bool m_may_have_reached_upstream = true;  ///< False once it is known that the upstream did not
                                              ///< get the attempt.
};

/// The phase of a request at the ingress.
enum class ingress_phase : std::uint8_t {
    awaiting_token,  ///< The rate limit has not decided yet.
    awaiting_answer, ///< No answer is being relayed yet.
    relaying,        ///< An answer is being relayed to the caller.
    resuming, ///< A part of the answer was relayed; the rest is requested from another upstream.
};

/// A request that this host owns until its caller has the whole answer or a refusal.
struct ingress_request {
    exchange_id m_exchange = 0;
    std::uint64_t m_number = 0; ///< A number that is unique within this run of the process.
    request_head m_head; ///< The head without hop-by-hop and internal fields, as upstreams get it.
    std::uint64_t m_body_hash = 0;
    std::uint64_t m_fingerprint = 0; ///< Hash of organisation, route, method, target and body.
    /// The document that was in force when the request arrived. It owns `m_route`.
    std::shared_ptr<const document> m_document;
    const route* m_route = nullptr;
    std::string m_service;        ///< The service chosen among the route's targets.
    std::uint32_t m_priority = 0; ///< 0 is the most urgent.
    std::uint64_t m_revision = 0; ///< The revision of the document in `m_document`.
    std::string m_organisation;   ///< The owner of the key; empty if the request needs no key.
    rate_limit m_limit;
    routing::idempotency m_idempotency = routing::idempotency::not_idempotent;
    instant m_arrived_at;
    instant m_deadline; ///< When the head of the answer, or of its remaining range, must have come.
    instant m_hedge_at = instant::max(); ///< When a hedged attempt may be sent.
    instant m_due_at = instant::max();   ///< Its entry in `ingress_state::m_due_requests`.
    ingress_phase m_phase = ingress_phase::awaiting_token;
    std::vector<ingress_attempt> m_attempts;
    std::uint32_t m_extra_attempts = 0; ///< Attempts allowed beyond the route's limit, since no
                                        ///< upstream saw the attempts that they replace.
    std::string m_crashed_run;          ///< The run of an upstream that broke off on this request;
                                        ///< empty if none did.
    relayed_answer m_answer;
};

/// When a request has to be processed by `on_timer`.
struct due_request {
    instant m_at;
    exchange_id m_exchange = 0;

    auto operator<=>(const due_request&) const = default;
};

/// The latest known reading of a gate's clock.
struct gate_clock_reading {
    std::uint64_t m_incarnation = 0; ///< The run of the gate's process.
    std::int64_t m_clock = 0;        ///< The reading in microseconds.
    instant m_learned_at;            ///< When the reading arrived, on this host's clock.
};

/// The state of this host's ingress.
struct ingress_state {
    std::map<exchange_id, ingress_request> m_requests;
    /// The exchange of the request that each open transfer serves.
    std::unordered_map<transfer_id, exchange_id> m_by_transfer;
    /// The exchange of each request, by `ingress_request::m_number`.
    std::unordered_map<std::uint64_t, exchange_id> m_by_number;
    std::set<due_request> m_due_requests; ///< Requests with a due time, the earliest first.
    /// The latest clock reading of each gate, by host name.
    std::map<std::string, gate_clock_reading, std::less<>> m_gate_clock_readings;
    retry_budget m_retry_budget;
    destination_records m_destinations;
    latency_tracker m_latencies;
    std::uint64_t m_last_request_number = 0; ///< The number of the latest request. Attempt ids
                                             ///< contain it.
    bool m_is_leaving = false; ///< Whether new requests are refused because the host leaves.
};

} // namespace chivevane
