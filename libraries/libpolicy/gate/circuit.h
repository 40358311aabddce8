#pragma once

#include "libbase/instant.h"

#include <cstdint>
#include <string_view>

namespace chivevane {

/// State of an upstream's circuit breaker.
enum class circuit_phase : std::uint8_t {
    closed,    ///< All attempts run.
    open,      ///< No attempt runs, except those that bypass the circuit breaker.
    half_open, ///< One trial attempt runs at a time, at first idempotent ones only.
};

/// Circuit breaker of one upstream.
struct upstream_circuit {
    /// Natural logarithm of the odds that the upstream is failing.
    double m_failure_log_odds = -3.5;
    double m_baseline_failure_share = 0.02; ///< Share of its answers that fail while it is healthy.
    circuit_phase m_phase = circuit_phase::closed;
    instant m_since;            ///< When the recorded phase began.
    duration m_open_duration{}; ///< How long the open phase lasts before it becomes half-open.
    std::uint32_t m_trial_successes = 0;
    bool m_has_trial_running = false;
};

} // namespace chivevane

/// Circuit breaker that opens after the first failures of an upstream.
///
/// Each answer adds evidence by the ratio of its probability from an upstream that fails most
/// requests to its probability from one with its baseline share of failures (a sequential
/// probability ratio test). While the circuit is open, the gate refuses attempts so that they run
/// on other upstreams. An ingress that has too few other upstreams can send an attempt that
/// bypasses the circuit breaker; see `circuit_breaker_mode`.
namespace chivevane::circuit {

/// How one run of an attempt on the upstream ended.
enum class run_outcome : std::uint8_t {
    good,
    failed,  ///< The answer is a server error, is missing, or belongs to another request.
    refused, ///< The upstream refused to run it although the gate counted a free slot.
    silent,  ///< No answer has come for several times the route's usual latency.
    caused_by_dependency, ///< The server error follows from a failed call to another service.
};

/// Whether the circuit lets an attempt run now.
enum class permission : std::uint8_t { run, run_as_trial, refuse };

permission permission_for(const upstream_circuit& state, bool is_idempotent, instant now);

/// Records that a trial was started.
void begin_trial(upstream_circuit& state);

/// Records that the trial ended without an outcome.
void abandon_trial(upstream_circuit& state);

void record_outcome(upstream_circuit& state, run_outcome outcome, instant now);

std::string_view to_string(circuit_phase phase);
std::string_view to_string(run_outcome outcome);

} // namespace chivevane::circuit
