#pragma once

#include "libbase/instant.h"
#include "libpolicy/health/health_status.h"
#include "libpolicy/host_settings.h"
#include "libpolicy/ingress/caller_request.h"
#include "libpolicy/limits/rate_limit.h"
#include "libpolicy/refusal.h"
#include "libpolicy/routing/routing.h"
#include "libwire/attempt_metadata.h"
#include "libwire/upstream_id.h"
#include "libwire/upstream_summary.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chivevane {

/// The caller's request that is explained. Its body counts as empty.
struct explanation_query {
    std::string m_method = "GET";
    std::string m_host;   ///< The Host field; if empty, the address of this host's caller port.
    std::string m_target; ///< The path, which may be followed by a query.
    ingress::caller_credential m_credential;
    std::optional<std::int64_t> m_timeout_ms; ///< X-Request-Timeout-Ms, if the caller sends it.
};

/// What the documents in force make of the request.
struct route_explanation {
    std::string m_document;
    std::uint64_t m_revision = 0;
    std::string m_route;
    std::string m_organisation; ///< Empty if the route needs no key.
    std::uint32_t m_configured_priority = 0;
    std::uint32_t m_gate_priority = 0; ///< The priority by which gates queue it now.
    duration m_time_left{};            ///< Until the head of the answer must have come.
    duration m_latency_target{};       ///< Of the route; zero if it has none.
    routing::idempotency m_idempotency = routing::idempotency::not_idempotent;
};

/// What the rate limit would decide.
enum class token_decision_forecast : std::uint8_t {
    granted,
    refused,
    asks_other_host, ///< Another host decides; its state is not known here.
};

/// The rate limit of the organisation and who decides on it.
struct rate_explanation {
    rate_limit m_limit;
    rate_mode m_mode = rate_mode::exact;
    /// In the mode `metered` the meter, empty while none is known. In the mode `exact` the brokers,
    /// the first one first: if this host has no token and is not the first one, it requests a loan
    /// from the first other one.
    std::vector<std::string> m_deciding_hosts;
    token_decision_forecast m_decision = token_decision_forecast::granted;
};

/// From where this host knows the load of an upstream.
enum class load_source : std::uint8_t {
    none,        ///< The load is not known.
    gate_answer, ///< An answer of the gate to an earlier attempt.
    host_record, ///< The record that the host sends to all others.
};

/// What this host learned of an upstream from answers of its gate; only the placement mode
/// `probing` uses it. Durations that are zero or negative mean that the state is over.
struct gate_belief {
    duration m_busy_for{};
    duration m_full_for{};
    std::uint32_t m_full_priority = 0; ///< Valid while `m_full_for` is positive.
    duration m_circuit_open_for{};
    std::optional<duration> m_circuit_seen_open_ago;
    duration m_unreachable_for{};
};

/// What this host believes of one upstream of the service, and how the request may reach it.
struct candidate_explanation {
    upstream_id m_upstream;
    std::string m_datacentre;
    bool m_is_in_own_datacentre = false;
    std::uint32_t m_slots = 0;
    std::uint32_t m_concurrency = 0;
    std::uint32_t m_queued = 0;
    warm_up_state m_warm_up_state = warm_up_state::cold;
    duration m_record_age{}; ///< Age of slots, concurrency, queue and warmth; zero on this host.
    health::health_assessment m_health;
    std::optional<gate_belief> m_belief; ///< Empty in the placement mode `weighted`.
    std::optional<double> m_load; ///< Running and queued attempts for each slot if a gate told it,
                                  ///< queued attempts for each slot in use if a record did.
    duration m_load_age{};        ///< Valid if the load is known.
    load_source m_load_source = load_source::none;

    /// The number of the step in which it may be asked, from 1; 0 if it would not be asked. The
    /// later steps come if each gate that is asked before refuses.
    std::size_t m_step = 0;

    /// That it is asked first. Zero unless `m_step` is 1.
    double m_probability = 0;
    queueing_permission m_queueing = queueing_permission::allowed;
    circuit_breaker_mode m_circuit_breaker_mode = circuit_breaker_mode::enforce;
};

/// A service of the route: its only one, or one of its weighted targets.
struct service_explanation {
    std::string m_service;
    double m_weight = 1;
    double m_probability = 1;                        ///< That it is chosen among the targets.
    std::optional<refusal> m_refusal;                ///< Set if no gate would be asked.
    std::vector<candidate_explanation> m_candidates; ///< In the order in which they are asked.
};

/// The first attempt that the request makes if it is the next to use the random engine.
struct next_attempt {
    std::string m_service;
    upstream_id m_upstream;
};

/// Where a request would go now, and why.
struct request_explanation {
    std::string m_host; ///< The host that explains.
    std::string m_datacentre;
    placement_mode m_placement = placement_mode::weighted;
    std::optional<route_explanation> m_route; ///< Empty if the request is refused before.
    std::optional<rate_explanation> m_rate;   ///< Empty if no rate limit applies.
    std::vector<service_explanation> m_services;
    std::optional<next_attempt> m_next; ///< Empty if the request is refused.

    /// Set if the request is refused whatever the random choices are. If its services refuse for
    /// different reasons, it is that of the service that `m_next` would be chosen from.
    std::optional<refusal> m_refusal;
};

} // namespace chivevane
