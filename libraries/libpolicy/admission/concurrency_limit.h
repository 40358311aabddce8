#pragma once

#include "libbase/instant.h"
#include "libwire/upstream_summary.h"

#include <cstdint>

namespace chivevane::admission {

/// Adaptive limit on the requests that run at once on an upstream.
///
/// An upstream that is announced as cold starts with one request, and good answers raise the limit
/// step by step. One that is announced as warm starts with all its slots; refusals on load and a
/// risen latency take off a share of them, which comes back within seconds.
struct concurrency_limit {
    std::uint32_t m_slots = 1; ///< Upper bound of the limit, as announced.
    warm_up_state m_announced = warm_up_state::cold;
    double m_limit =
        1; ///< Requests that may run at once now; the fraction is progress to the next.
    /// Good answers at full use that count towards the next increase of a cold upstream.
    std::uint32_t m_good_answers = 0;
    std::uint32_t m_answers_per_increase = 0; ///< Good answers needed to raise the limit by one.
    /// Good answers since the last reset; the averages need a few.
    std::uint32_t m_answers_since_reset = 0;
    /// Moving average of ln(latency in us) over the last few answers.
    double m_recent_log_latency = 0;
    double m_typical_log_latency = 0; ///< The same average over a longer time; 0 while unknown.
    /// Moving average of ln(latency / mean latency of the route) over the last few answers.
    double m_recent_log_slowdown = 0;
    std::uint32_t m_slowdown_samples = 0; ///< Answers in that average since the last reduction.
    instant m_reset_at;     ///< Answers to requests that started before the reset are ignored.
    instant m_paused_until; ///< No request starts before this time.
    instant m_reduced_at = instant::min(); ///< Last reduction while warm.
    /// Most requests that ran at once when one of them was answered well, and when that was.
    std::uint32_t m_proven_concurrency = 0;
    instant m_proven_at = instant::min();
    /// Share of refusals, over the last few outcomes, while no more requests ran than were proven.
    double m_unexplained_refusal_share = 0;
    instant m_raised_at;        ///< Last increase while warm, or the last reduction.
    duration m_recovery_time{}; ///< Time in which the limit rises by all slots.
};

/// How a request that ran has been answered.
struct run_sample {
    duration m_latency{};        ///< From the hand-over to the head of the answer.
    duration m_expected{};       ///< Mean latency of its route on this upstream; zero if unknown.
    std::uint32_t m_running = 0; ///< Requests that ran on the upstream, this one included.
};

/// Discards what was learnt and starts as the announcement says: with one request on a cold
/// upstream, with all slots on a warm one.
void restart(concurrency_limit& limit, warm_up_state announced, instant now);

void set_slots(concurrency_limit& limit, std::uint32_t slots);

/// Requests that may run at once.
std::uint32_t current_limit(const concurrency_limit& limit);

/// Records a good answer.
void on_good_answer(concurrency_limit& limit, const run_sample& sample, instant now);

/// Records that the upstream refused a request because of its load.
void on_load_refused(concurrency_limit& limit, const run_sample& sample, instant now);

/// Usual latency of the upstream's answers; zero while unknown.
duration typical_latency(const concurrency_limit& limit);

} // namespace chivevane::admission
