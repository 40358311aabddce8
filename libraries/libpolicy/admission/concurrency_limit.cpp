#include "libpolicy/admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace chivevane::admission {

namespace {

/// Good answers for the first increase of the limit: enough to show a latency that rises.
constexpr std::uint32_t initial_answers_per_increase = 8;

/// The upper bound of the doubling. Some upstreams warm up only with work, so the limit must go on
/// rising.
constexpr std::uint32_t max_answers_per_increase = 1024;

constexpr double recent_weight = 0.15; // Averages about the last seven answers.
constexpr double typical_weight = 0.02;
constexpr double min_latency_samples = 8;

/// Rise of the recent logarithmic latency that resets the limit: exp(1.4) is four times the typical
/// latency.
constexpr double overload_log_ratio = 1.4;

/// The limit rises only while the recent latency is under twice the typical one.
constexpr double increase_log_ratio = 0.7;

/// Fall of the recent logarithmic latency at which it becomes the typical one. An upstream that is
/// twice as fast has warmed up.
constexpr double warm_up_log_ratio = 0.7;

/// Good answers at full concurrency after which earlier resets no longer slow down increases.
constexpr std::uint32_t answers_to_reset_step = 256;

/// Pause after a refusal, in which an upstream that refuses even a single request becomes idle.
constexpr duration pause_after_refusal = 200ms;

bool is_from_before_reset(const concurrency_limit& limit, duration latency, instant now)
{
    return now - latency < limit.m_reset_at;
}

/// Resets the limit to one request at a time and doubles the answers needed for each increase.
void reset_limit(concurrency_limit& limit, instant now)
{
    limit.m_limit = 1;
    limit.m_good_answers = 0;
    limit.m_answers_since_reset = 0;
    limit.m_answers_per_increase =
        std::min(max_answers_per_increase, limit.m_answers_per_increase * 2);
    limit.m_typical_log_latency = 0; // A cold upstream has a different latency.
    limit.m_reset_at = now;
}

void update_latencies(concurrency_limit& limit, double latency_log)
{
    ++limit.m_answers_since_reset;
    const auto sample_share = 1.0 / limit.m_answers_since_reset;
    limit.m_recent_log_latency +=
        std::max(recent_weight, sample_share) * (latency_log - limit.m_recent_log_latency);
    const auto weight = std::max(typical_weight, sample_share);
    limit.m_typical_log_latency += weight * (latency_log - limit.m_typical_log_latency);
    if (limit.m_recent_log_latency < limit.m_typical_log_latency - warm_up_log_ratio) {
        limit.m_typical_log_latency = limit.m_recent_log_latency;
    }
}

void increase_limit(concurrency_limit& limit)
{
    limit.m_good_answers = 0;
    if (limit.m_limit < limit.m_slots) {
        ++limit.m_limit;
    }
    else {
        limit.m_answers_per_increase = initial_answers_per_increase;
    }
}

std::uint32_t answers_until_increase(const concurrency_limit& limit)
{
    return limit.m_limit < limit.m_slots ? limit.m_answers_per_increase : answers_to_reset_step;
}

} // namespace

void reset_for_cold_upstream(concurrency_limit& limit, instant now)
{
    const auto slots = limit.m_slots;
    limit = {};
    limit.m_slots = slots;
    limit.m_answers_per_increase = initial_answers_per_increase;
    limit.m_reset_at = now;
}

void set_slots(concurrency_limit& limit, std::uint32_t slots)
{
    limit.m_slots = std::max(1U, slots);
    limit.m_limit = std::min(limit.m_limit, limit.m_slots);
}

void on_good_answer(concurrency_limit& limit, duration latency, std::uint32_t running, instant now)
{
    if (is_from_before_reset(limit, latency, now)) {
        return;
    }
    update_latencies(limit, std::log(static_cast<double>(std::max(latency, duration{1}).count())));
    const auto log_increase = limit.m_recent_log_latency - limit.m_typical_log_latency;
    if (limit.m_answers_since_reset >= min_latency_samples && log_increase > overload_log_ratio) {
        reset_limit(limit, now);
        return;
    }
    if (log_increase < increase_log_ratio && running >= limit.m_limit &&
        ++limit.m_good_answers >= answers_until_increase(limit)) {
        increase_limit(limit);
    }
}

void on_load_refused(concurrency_limit& limit, duration latency, instant now)
{
    if (is_from_before_reset(limit, latency, now)) {
        return;
    }
    reset_limit(limit, now);
    limit.m_paused_until = now + pause_after_refusal;
}

duration typical_latency(const concurrency_limit& limit)
{
    if (limit.m_answers_since_reset < min_latency_samples) {
        return duration{};
    }
    return duration{static_cast<std::int64_t>(std::exp(limit.m_typical_log_latency))};
}

} // namespace chivevane::admission
