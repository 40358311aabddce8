#pragma once

#include "libbase/instant.h"

#include <cstdint>

namespace chivevane::health {

/// The health status of an upstream, which decides how many new requests it may get.
enum class health_status : std::uint8_t {
    healthy,
    trial,   ///< It gets a few requests, which must be idempotent.
    ramping, ///< It gets a share that grows over time.
    ejected, ///< It gets no requests.
};

/// The health status of an upstream with the share of requests that it may get.
struct health_assessment {
    health_status m_status = health_status::healthy;
    double m_share = 1; ///< Share of its fair part of the load, 0 to 1.
};

/// The state behind the health status of one upstream.
struct ejection_state {
    health_status m_status = health_status::healthy;
    instant m_since; ///< When the status began or, while healthy, when `m_ejections` last fell.
    duration m_ejection_time{};        ///< How long the current or last ejection lasts.
    std::uint32_t m_ejections = 0;     ///< Recent ejections; each doubles the next ejection time.
    std::uint32_t m_trial_answers = 0; ///< Answers since the trial began.
};

/// Ejects the upstream for a time that doubles with each recent ejection, up to a maximum.
void eject(ejection_state& record, instant now);

/// Begins a ramp without counting an ejection; a ramp also follows causes other than bad health.
void begin_ramp(ejection_state& record, instant now);

/// The kind of change that `advance` made; a new trial requires the earlier evidence to be erased.
enum class status_change : std::uint8_t { none, trial_began, other };

/// Ends ejections, trials and ramps whose time has elapsed, and reduces the ejection count of an
/// upstream that has been healthy for long enough.
status_change advance(ejection_state& record, instant now);

/// Counts answers of an upstream on trial and begins its ramp after enough of them, if `severity`,
/// which is computed from the trial's answers, is low. Does nothing in any other status.
void record_trial_answers(ejection_state& record, std::uint32_t answers, double severity,
                          instant now);

/// The assessment at `now`; `trial_share` is the share of an upstream on trial.
health_assessment assessment_at(const ejection_state& record, double trial_share, instant now);

} // namespace chivevane::health
