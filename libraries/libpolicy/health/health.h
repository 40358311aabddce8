#pragma once

#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/context.h"
#include "libpolicy/health/health_state.h"
#include "libpolicy/health/observation.h"
#include "libpolicy/membership/membership_state.h"

#include <string_view>

namespace chivevane::health {

/// How much new work an upstream should get.
enum class standing : std::uint8_t {
    healthy,
    trial,   ///< A few idempotent requests only.
    ramping, ///< A growing share.
    ejected, ///< None.
};

/// Adds what this host saw.
void observe(health_state& state, context& surroundings, const observation& seen);

/// Adds what another host saw.
void on_report(health_state& state, context& surroundings, const host_identity& sender,
               const health_report& report);

/// Closes windows, shares evidence and draws verdicts when they are due.
void on_timer(health_state& state, context& surroundings, const membership_state& members,
              const configuration_state& configuration);

/// The verdict on `upstream`; `m_share` of its fair part of the work, 0 to 1.
struct verdict {
    standing m_standing = standing::healthy;
    double m_share = 1;
};
verdict verdict_on(const health_state& state, const upstream_id& upstream);

/// The time within which an attempt on this route ordinarily has its answer: a deadline for
/// connections gone silent and for hedges. `fallback` while too little is known.
duration expected_latency(const health_state& state, std::string_view service,
                          std::string_view route, duration fallback);

instant next_wakeup(const health_state& state);

} // namespace chivevane::health
