#pragma once

#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/context.h"
#include "libpolicy/health/capacity_floor.h"
#include "libpolicy/health/health_state.h"
#include "libpolicy/health/health_status.h"
#include "libpolicy/health/observation.h"
#include "libpolicy/membership/membership_state.h"

#include <string_view>

/// Which upstreams are sick, from the evidence of all hosts, and what they may get meanwhile.
namespace chivevane::health {

/// Adds what this host saw. An ingress should tell of good answers too: they clear its private
/// view of an unreachable upstream.
void observe(health_state& state, context& surroundings, const observation& seen);

/// Adds what another host saw.
void on_report(health_state& state, context& surroundings, const host_identity& sender,
               const health_report& report);

/// Closes windows, shares evidence and draws verdicts when they are due.
void on_timer(health_state& state, context& surroundings, const membership_state& members,
              const configuration_state& configuration);

/// The verdict on `upstream` before the floor: pooled evidence and this host's own way there.
verdict verdict_before_floor(const health_state& state, const upstream_id& upstream, instant now);

/// How bad the upstream is, 0 to 1; more than 1 for one that this host cannot reach.
double excess_of(const health_state& state, const upstream_id& upstream, instant now);

/// The verdict on `upstream` with the floor as of the last `on_timer`.
verdict verdict_on(const health_state& state, const upstream_id& upstream);

/// The time within which an attempt on this route ordinarily has its answer: a deadline for
/// connections gone silent and for hedges. `fallback` while too little is known.
duration expected_latency(const health_state& state, std::string_view service,
                          std::string_view route, duration fallback);

instant next_wakeup(const health_state& state);

} // namespace chivevane::health
