#pragma once

#include "libbase/instant.h"

#include <cstdint>

namespace chivevane::admission {

/// How many requests an upstream is given at once, learnt from its answers.
struct concurrency_limit {
    std::uint32_t m_slots = 1; ///< Never exceeded.
    std::uint32_t m_limit = 1;
    std::uint32_t m_good_answers = 0;   ///< At the present limit.
    std::uint32_t m_step_answers = 0;   ///< Good answers that the next step up takes.
    std::uint32_t m_recent_answers = 0; ///< Since the last fall; the averages need a few.
    double m_recent_log = 0;            ///< Mean logarithm of the latency of the last few answers.
    double m_typical_log = 0;           ///< The same over a longer time; 0 while unknown.
    instant m_fell_at;      ///< Answers to requests from before tell of the time before.
    instant m_paused_until; ///< No request starts before.
};

/// Starts over as for a cold upstream: nothing is known.
void start_cold(concurrency_limit& limit, instant now);

void set_slots(concurrency_limit& limit, std::uint32_t slots);

/// A request that was started at `started_at` got a good answer after `latency`, while `running`
/// requests ran, itself included.
void on_good_answer(concurrency_limit& limit, duration latency, std::uint32_t running, instant now);

/// The upstream refused a request on load.
void on_load_refused(concurrency_limit& limit, duration latency, instant now);

/// How long an upstream ordinarily takes for a request; zero while unknown.
duration typical_latency(const concurrency_limit& limit);

} // namespace chivevane::admission
