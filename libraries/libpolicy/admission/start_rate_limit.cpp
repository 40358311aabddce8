#include "libpolicy/admission/start_rate_limit.h"

#include <algorithm>

namespace chivevane::admission {

namespace {

/// Starts are allowed at once that the rate allows in this time.
constexpr duration burst_time = 500ms;

/// Rate at which an upstream that accepts nothing is still asked, so that the end of its limit is
/// noticed.
constexpr double lowest_rate = 0.25;

/// Starts in this time before a limit is named count against it.
constexpr duration remembered_time = 2s;

double capacity_of(double rate)
{
    return std::max(1.0, rate * to_seconds(burst_time));
}

void refill(start_rate_limit& limit, instant now)
{
    const auto refilled = *limit.m_rate * to_seconds(now - limit.m_refilled_at);
    limit.m_tokens = std::min(capacity_of(*limit.m_rate), limit.m_tokens + refilled);
    limit.m_refilled_at = now;
}

void forget_old_starts(start_rate_limit& limit, instant now)
{
    auto& starts = limit.m_recent_starts;
    while (!starts.empty() && now - starts.front() > remembered_time) {
        starts.pop_front();
    }
}

} // namespace

void set_rate(start_rate_limit& limit, std::optional<double> rate, instant now)
{
    if (!rate) {
        limit.m_rate.reset();
        return;
    }
    const auto wanted = std::max(*rate, lowest_rate);
    if (limit.m_rate) {
        refill(limit, now);
        limit.m_tokens = std::min(limit.m_tokens, capacity_of(wanted));
    }
    else {
        forget_old_starts(limit, now);
        limit.m_tokens = capacity_of(wanted) - static_cast<double>(limit.m_recent_starts.size());
        limit.m_refilled_at = now;
    }
    limit.m_rate = wanted;
}

bool may_start(start_rate_limit& limit, instant now)
{
    if (!limit.m_rate) {
        return true;
    }
    refill(limit, now);
    return limit.m_tokens >= 1;
}

void record_start(start_rate_limit& limit, instant now)
{
    forget_old_starts(limit, now);
    limit.m_recent_starts.push_back(now);
    if (limit.m_rate) {
        refill(limit, now);
        limit.m_tokens -= 1;
    }
}

instant next_start(const start_rate_limit& limit)
{
    if (!limit.m_rate || limit.m_tokens >= 1) {
        return instant{};
    }
    constexpr duration rounding = 1ms;
    return limit.m_refilled_at + from_seconds((1 - limit.m_tokens) / *limit.m_rate) + rounding;
}

duration time_for_starts(const start_rate_limit& limit, std::int64_t ahead)
{
    if (!limit.m_rate) {
        return {};
    }
    const auto missing = static_cast<double>(ahead + 1) - limit.m_tokens;
    return from_seconds(std::max(0.0, missing) / *limit.m_rate);
}

} // namespace chivevane::admission
