#include "libpolicy/admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace chivevane::admission {

namespace {

constexpr std::uint32_t first_step_answers = 8;      // Enough answers to see a latency that rises.
constexpr std::uint32_t longest_step_answers = 1024; // Some upstreams warm up only with work.
constexpr double recent_weight = 0.15;               // About the last seven answers.
constexpr double typical_weight = 0.02;
constexpr double learning_answers = 8;
constexpr double cliff = 1.4;         // exp(1.4) is four times the typical latency.
constexpr double growth_margin = 0.7; // Grows while the latency is under twice the typical one.
constexpr double warming =
    0.7; // Twice as fast: an upstream that warms up has a new typical latency.
constexpr std::uint32_t lasting_answers =
    256;                                  // At full concurrency they make past falls forgotten.
constexpr duration refusal_pause = 200ms; // Lets an upstream that refuses even one get idle.

bool belongs_to_before(const concurrency_limit& limit, duration latency, instant now)
{
    return now - latency < limit.m_fell_at;
}

/// Falls back to one request at a time, and climbs more slowly the next time.
void fall(concurrency_limit& limit, instant now)
{
    limit.m_limit = 1;
    limit.m_good_answers = 0;
    limit.m_recent_answers = 0;
    limit.m_step_answers = std::min(longest_step_answers, limit.m_step_answers * 2);
    limit.m_typical_log = 0; // A cold upstream has a latency of its own.
    limit.m_fell_at = now;
}

void learn(concurrency_limit& limit, double latency_log)
{
    ++limit.m_recent_answers;
    const auto mean_weight = 1.0 / limit.m_recent_answers;
    limit.m_recent_log += std::max(recent_weight, mean_weight) * (latency_log - limit.m_recent_log);
    const auto weight = std::max(typical_weight, mean_weight);
    limit.m_typical_log += weight * (latency_log - limit.m_typical_log);
    if (limit.m_recent_log < limit.m_typical_log - warming) {
        limit.m_typical_log = limit.m_recent_log;
    }
}

void climb(concurrency_limit& limit)
{
    limit.m_good_answers = 0;
    if (limit.m_limit < limit.m_slots) {
        ++limit.m_limit;
    }
    else {
        limit.m_step_answers = first_step_answers;
    }
}

std::uint32_t answers_until_climb(const concurrency_limit& limit)
{
    return limit.m_limit < limit.m_slots ? limit.m_step_answers : lasting_answers;
}

} // namespace

void start_cold(concurrency_limit& limit, instant now)
{
    const auto slots = limit.m_slots;
    limit = {};
    limit.m_slots = slots;
    limit.m_step_answers = first_step_answers;
    limit.m_fell_at = now;
}

void set_slots(concurrency_limit& limit, std::uint32_t slots)
{
    limit.m_slots = std::max(1U, slots);
    limit.m_limit = std::min(limit.m_limit, limit.m_slots);
}

void on_good_answer(concurrency_limit& limit, duration latency, std::uint32_t running, instant now)
{
    if (belongs_to_before(limit, latency, now)) {
        return;
    }
    learn(limit, std::log(static_cast<double>(std::max(latency, duration{1}).count())));
    const auto rise = limit.m_recent_log - limit.m_typical_log;
    if (limit.m_recent_answers >= learning_answers && rise > cliff) {
        fall(limit, now);
        return;
    }
    if (rise < growth_margin && running >= limit.m_limit &&
        ++limit.m_good_answers >= answers_until_climb(limit)) {
        climb(limit);
    }
}

void on_load_refused(concurrency_limit& limit, duration latency, instant now)
{
    if (belongs_to_before(limit, latency, now)) {
        return;
    }
    fall(limit, now);
    limit.m_paused_until = now + refusal_pause;
}

duration typical_latency(const concurrency_limit& limit)
{
    if (limit.m_recent_answers < learning_answers) {
        return duration{};
    }
    return duration{static_cast<std::int64_t>(std::exp(limit.m_typical_log))};
}

} // namespace chivevane::admission
