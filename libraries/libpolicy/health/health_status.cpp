#include "libpolicy/health/health_status.h"

#include <algorithm>

namespace chivevane::health {

namespace {

constexpr duration base_ejection_time = 5s;
constexpr duration max_ejection_time = 5min;
// Each healthy period of this length removes one ejection from the count.
constexpr duration ejection_decay_interval = 2min;

constexpr duration ramp_duration = 10s; // Allows several evaluations under growing load.
constexpr double initial_ramp_share = 0.1;
constexpr std::uint32_t min_trial_answers = 5;
constexpr double max_passing_severity = 0.3; // An upstream passes its trial below this severity.

// A trial ends after this time even without answers: services without idempotent requests have no
// trial requests.
constexpr duration max_trial_duration = 1min;

double ramp_share(const ejection_state& record, instant now)
{
    const auto elapsed = to_seconds(now - record.m_since) / to_seconds(ramp_duration);
    return std::clamp(initial_ramp_share + (1 - initial_ramp_share) * elapsed, initial_ramp_share,
                      1.0);
}

void set_status(ejection_state& record, health_status next, instant now)
{
    record.m_status = next;
    record.m_since = now;
}

} // namespace

void eject(ejection_state& record, instant now)
{
    set_status(record, health_status::ejected, now);
    const auto doublings = std::min(record.m_ejections, 16U);
    record.m_ejection_time = std::min(max_ejection_time, base_ejection_time * (1 << doublings));
    ++record.m_ejections;
}

void begin_ramp(ejection_state& record, instant now)
{
    set_status(record, health_status::ramping, now);
}

status_change advance(ejection_state& record, instant now)
{
    const auto elapsed = now - record.m_since;
    switch (record.m_status) {
    case health_status::ejected:
        if (elapsed >= record.m_ejection_time) {
            set_status(record, health_status::trial, now);
            record.m_trial_answers = 0;
            return status_change::trial_began;
        }
        return status_change::none;
    case health_status::trial:
        if (elapsed >= max_trial_duration) {
            begin_ramp(record, now);
            return status_change::other;
        }
        return status_change::none;
    case health_status::ramping:
        if (elapsed >= ramp_duration) {
            set_status(record, health_status::healthy, now);
            return status_change::other;
        }
        return status_change::none;
    case health_status::healthy:
        if (record.m_ejections > 0 && elapsed >= ejection_decay_interval) {
            --record.m_ejections;
            record.m_since = now;
        }
        return status_change::none;
    }
    return status_change::none;
}

void record_trial_answers(ejection_state& record, std::uint32_t answers, double severity,
                          instant now)
{
    if (record.m_status != health_status::trial) {
        return;
    }
    record.m_trial_answers += answers;
    if (record.m_trial_answers >= min_trial_answers && severity < max_passing_severity) {
        begin_ramp(record, now);
    }
}

health_assessment assessment_at(const ejection_state& record, double trial_share, instant now)
{
    switch (record.m_status) {
    case health_status::healthy:
        return {health_status::healthy, 1};
    case health_status::trial:
        return {health_status::trial, trial_share};
    case health_status::ramping:
        return {health_status::ramping, ramp_share(record, now)};
    case health_status::ejected:
        return {health_status::ejected, 0};
    }
    return {};
}

} // namespace chivevane::health
