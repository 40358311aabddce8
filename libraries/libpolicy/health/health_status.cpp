#include "libpolicy/health/health_status.h"

#include <algorithm>

namespace chivevane::health {

namespace {

constexpr duration first_stay = 5s;
constexpr duration longest_stay = 5min;
constexpr duration ejection_memory = 2min; // Healthy time that makes up for one ejection.
constexpr duration ramp_length = 10s;      // Long enough for several looks at growing load.
constexpr double first_ramp_share = 0.1;
constexpr std::uint32_t trial_answers = 5;
constexpr double passing_severity = 0.3; // Below it, the trial's answers speak for health.
constexpr duration longest_trial = 1min; // A service without idempotent requests has no trials.

double ramp_share(const standing_record& record, instant now)
{
    const auto passed = to_seconds(now - record.m_since) / to_seconds(ramp_length);
    return std::clamp(first_ramp_share + (1 - first_ramp_share) * passed, first_ramp_share, 1.0);
}

void enter(standing_record& record, standing next, instant now)
{
    record.m_standing = next;
    record.m_since = now;
}

} // namespace

void eject(standing_record& record, instant now)
{
    enter(record, standing::ejected, now);
    const auto doublings = std::min(record.m_ejections, 16U);
    record.m_stay = std::min(longest_stay, first_stay * (1 << doublings));
    ++record.m_ejections;
}

void begin_ramp(standing_record& record, instant now)
{
    enter(record, standing::ramping, now);
}

standing_change advance(standing_record& record, instant now)
{
    const auto passed = now - record.m_since;
    switch (record.m_standing) {
    case standing::ejected:
        if (passed >= record.m_stay) {
            enter(record, standing::trial, now);
            record.m_trial_answers = 0;
            return standing_change::trial_began;
        }
        return standing_change::none;
    case standing::trial:
        if (passed >= longest_trial) {
            begin_ramp(record, now);
            return standing_change::other;
        }
        return standing_change::none;
    case standing::ramping:
        if (passed >= ramp_length) {
            enter(record, standing::healthy, now);
            return standing_change::other;
        }
        return standing_change::none;
    case standing::healthy:
        if (record.m_ejections > 0 && passed >= ejection_memory) {
            --record.m_ejections;
            record.m_since = now;
        }
        return standing_change::none;
    }
    return standing_change::none;
}

void note_trial_answers(standing_record& record, std::uint32_t answers, double severity,
                        instant now)
{
    if (record.m_standing != standing::trial) {
        return;
    }
    record.m_trial_answers += answers;
    if (record.m_trial_answers >= trial_answers && severity < passing_severity) {
        begin_ramp(record, now);
    }
}

verdict verdict_of(const standing_record& record, double trial_share, instant now)
{
    switch (record.m_standing) {
    case standing::healthy:
        return {standing::healthy, 1};
    case standing::trial:
        return {standing::trial, trial_share};
    case standing::ramping:
        return {standing::ramping, ramp_share(record, now)};
    case standing::ejected:
        return {standing::ejected, 0};
    }
    return {};
}

} // namespace chivevane::health
