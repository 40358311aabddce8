#include "libpolicy/gate/circuit.h"

#include <algorithm>
#include <cmath>

namespace chivevane::circuit {

namespace {

constexpr double failing_upstream_failure_share = 0.7; ///< Assumed for an upstream that is failing.
/// Caps the odds at about 3 in 100 however many answers are good.
constexpr double min_failure_log_odds = -3.5;
constexpr double max_failure_log_odds = 3.5;
constexpr double min_baseline_failure_share = 0.012;
constexpr double max_baseline_failure_share = 0.15;
constexpr double baseline_weight = 0.004; ///< Averages about the last 250 answers.
/// Relative to a failure; a refused attempt can run elsewhere.
constexpr double refused_evidence_weight = 0.1;
/// Relative to a failure; some requests take long without a fault.
constexpr double silent_evidence_weight = 0.6;
constexpr std::uint32_t successes_to_close = 2;

constexpr duration initial_open_duration = 400ms;
constexpr duration max_open_duration = 2s;

/// How long a half-open circuit accepts only idempotent attempts as trials.
constexpr duration idempotent_only_duration = 3s;

double failure_evidence(const upstream_circuit& state)
{
    return std::log(failing_upstream_failure_share / state.m_baseline_failure_share);
}

double success_evidence(const upstream_circuit& state)
{
    return std::log((1 - failing_upstream_failure_share) / (1 - state.m_baseline_failure_share));
}

void update_baseline(upstream_circuit& state, double failure)
{
    const auto updated = state.m_baseline_failure_share +
                         baseline_weight * (failure - state.m_baseline_failure_share);
    state.m_baseline_failure_share =
        std::clamp(updated, min_baseline_failure_share, max_baseline_failure_share);
}

void add_evidence(upstream_circuit& state, double evidence)
{
    state.m_failure_log_odds =
        std::clamp(state.m_failure_log_odds + evidence, min_failure_log_odds, max_failure_log_odds);
}

void open(upstream_circuit& state, instant now)
{
    const bool was_closed = state.m_phase == circuit_phase::closed;
    state.m_open_duration = was_closed
                                ? initial_open_duration
                                : std::min<duration>(state.m_open_duration * 2, max_open_duration);
    state.m_phase = circuit_phase::open;
    state.m_since = now;
    state.m_trial_successes = 0;
    state.m_has_trial_running = false;
}

void close(upstream_circuit& state, instant now)
{
    state.m_phase = circuit_phase::closed;
    state.m_since = now;
    state.m_failure_log_odds = min_failure_log_odds;
    state.m_has_trial_running = false;
}

circuit_phase phase_at(const upstream_circuit& state, instant now)
{
    const bool is_open_period_over =
        state.m_phase == circuit_phase::open && now - state.m_since >= state.m_open_duration;
    return is_open_period_over ? circuit_phase::half_open : state.m_phase;
}

void record_while_closed(upstream_circuit& state, run_outcome outcome, instant now)
{
    switch (outcome) {
    case run_outcome::good:
        update_baseline(state, 0);
        add_evidence(state, success_evidence(state));
        break;
    case run_outcome::failed:
        add_evidence(state, failure_evidence(state));
        update_baseline(state, 1);
        break;
    case run_outcome::refused:
        add_evidence(state, refused_evidence_weight * failure_evidence(state));
        break;
    case run_outcome::silent:
        add_evidence(state, silent_evidence_weight * failure_evidence(state));
        break;
    case run_outcome::caused_by_dependency:
        break;
    }
    if (state.m_failure_log_odds >= 0) {
        open(state, now);
    }
}

} // namespace

permission permission_for(const upstream_circuit& state, bool is_idempotent, instant now)
{
    switch (phase_at(state, now)) {
    case circuit_phase::closed:
        return permission::run;
    case circuit_phase::open:
        return permission::refuse;
    case circuit_phase::half_open:
        break;
    }
    const bool is_any_accepted =
        now - state.m_since >= state.m_open_duration + duration{idempotent_only_duration};
    return !state.m_has_trial_running && (is_idempotent || is_any_accepted)
               ? permission::run_as_trial
               : permission::refuse;
}

void begin_trial(upstream_circuit& state)
{
    state.m_has_trial_running = true;
}

void abandon_trial(upstream_circuit& state)
{
    state.m_has_trial_running = false;
}

void record_outcome(upstream_circuit& state, run_outcome outcome, instant now)
{
    switch (phase_at(state, now)) {
    case circuit_phase::closed:
        record_while_closed(state, outcome, now);
        return;
    case circuit_phase::open:
        return; // Answers to attempts from before the circuit opened give no new information.
    case circuit_phase::half_open:
        break;
    }
    state.m_has_trial_running = false;
    if (outcome == run_outcome::caused_by_dependency || outcome == run_outcome::refused) {
        return; // Neither outcome shows whether the upstream can complete a request.
    }
    if (outcome != run_outcome::good) {
        open(state, now);
    }
    else if (++state.m_trial_successes >= successes_to_close) {
        close(state, now);
    }
}

std::string_view to_string(circuit_phase phase)
{
    switch (phase) {
    case circuit_phase::closed:
        return "closed";
    case circuit_phase::open:
        return "open";
    case circuit_phase::half_open:
        return "trial";
    }
    return "unknown";
}

std::string_view to_string(run_outcome outcome)
{
    switch (outcome) {
    case run_outcome::good:
        return "good";
    case run_outcome::failed:
        return "failed";
    case run_outcome::refused:
        return "refused";
    case run_outcome::silent:
        return "silent";
    case run_outcome::caused_by_dependency:
        return "explained";
    }
    return "unknown";
}

} // namespace chivevane::circuit
