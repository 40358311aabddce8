#pragma once

#include "libbase/instant.h"

#include <cstdint>
#include <string_view>

namespace chivevane {

/// Whether an upstream gets work, judged by its own answers.
enum class circuit_phase : std::uint8_t {
    closed, ///< All work.
    open,   ///< None.
    trial,  ///< One attempt at a time, idempotent ones first.
};

/// What the gate concludes from the answers of one upstream.
struct upstream_circuit {
    double m_doubt = -3.5;         ///< Logarithm of the odds that the upstream is failing.
    double m_failure_share = 0.02; ///< Of its answers on ordinary days.
    circuit_phase m_phase = circuit_phase::closed;
    instant m_since;   ///< When the phase began.
    duration m_stay{}; ///< How long an open phase lasts.
    std::uint32_t m_trial_successes = 0;
    bool m_has_trial_running = false;
};

} // namespace chivevane

/// Stops work for an upstream that fails, from the first failures on.
///
/// Each answer is weighed by how much likelier it is from an upstream that fails most requests than
/// from one with its ordinary share of failures (a sequential probability ratio test). The gate
/// refuses work meanwhile, so that it runs elsewhere; an ingress that has too few other upstreams
/// insists.
namespace chivevane::circuit {

/// How one run of the upstream went.
enum class run_outcome : std::uint8_t {
    good,
    failed,    ///< An error, no answer, or one that belongs to no request.
    refused,   ///< Not run, though the gate knew of room.
    silent,    ///< No answer for several times the ordinary latency.
    explained, ///< An error that another service caused.
};

/// Whether an attempt may run now.
enum class permission : std::uint8_t { run, run_as_trial, refuse };

permission ask(const upstream_circuit& state, bool is_idempotent, instant now);

/// A trial was started.
void begin_trial(upstream_circuit& state);

/// A trial ended without telling anything.
void abandon_trial(upstream_circuit& state);

void note(upstream_circuit& state, run_outcome outcome, instant now);

std::string_view to_string(circuit_phase phase);
std::string_view to_string(run_outcome outcome);

} // namespace chivevane::circuit
