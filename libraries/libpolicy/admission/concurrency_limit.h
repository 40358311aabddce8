#pragma once

#include "libbase/instant.h"

#include <cstdint>

namespace chivevane::admission {

/// Adaptive limit on the requests that run at once on an upstream, learnt from its answers.
struct concurrency_limit {
    std::uint32_t m_slots = 1; ///< Upper bound of the limit, as announced.
    std::uint32_t m_limit = 1; ///< Requests that may run at once now.
    /// Good answers at full use that count towards the next increase.
    std::uint32_t m_good_answers = 0;
    std::uint32_t m_answers_per_increase = 0; ///< Good answers needed to raise the limit by one.
    /// Good answers since the last reset; the averages need a few.
    std::uint32_t m_answers_since_reset = 0;
    /// Moving average of ln(latency in us) over the last few answers.
    double m_recent_log_latency = 0;
    double m_typical_log_latency = 0; ///< The same average over a longer time; 0 while unknown.
    instant m_reset_at;     ///< Answers to requests that started before the reset are ignored.
    instant m_paused_until; ///< No request starts before this time.
};

/// Discards what was learnt and starts with the limit of a cold upstream, which is one.
void reset_for_cold_upstream(concurrency_limit& limit, instant now);

void set_slots(concurrency_limit& limit, std::uint32_t slots);

/// Records a good answer after `latency`, while `running` requests ran, this one included.
void on_good_answer(concurrency_limit& limit, duration latency, std::uint32_t running, instant now);

/// Records that the upstream refused a request because of its load.
void on_load_refused(concurrency_limit& limit, duration latency, instant now);

/// Usual latency of the upstream's answers; zero while unknown.
duration typical_latency(const concurrency_limit& limit);

} // namespace chivevane::admission
