#pragma once

#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/health/capacity_floor.h"
#include "libpolicy/health/health_state.h"
#include "libpolicy/health/health_status.h"
#include "libpolicy/health/observation.h"
#include "libpolicy/membership/membership_state.h"
#include "libpolicy/reducer_context.h"

#include <string_view>

/// Outlier detection: finds unhealthy upstreams by the evidence of all hosts, ejects them, and
/// returns them to use by trial requests and a ramp.
namespace chivevane::health {

/// Adds what this host observed. An ingress must also report good answers, since they end this
/// host's avoidance of an upstream that it could not reach.
void record_observation(health_state& state, reducer_context& context, const observation& seen);

/// Merges the evidence of another host.
void on_report(health_state& state, reducer_context& context, const host_identity& sender,
               const health_report& report);

/// Sends evidence to the other hosts and evaluates all upstreams, each when it is due.
void on_timer(health_state& state, reducer_context& context, const membership_state& members,
              const configuration_state& configuration);

/// The assessment of `upstream` before the capacity floor applies. It combines the evidence of all
/// hosts with the path from this host to the upstream.
health_assessment assessment_before_floor(const health_state& state, const upstream_id& upstream,
                                          instant now);

/// How unhealthy the upstream is: the share of answers, 0 to 1, by which a symptom exceeds that of
/// the peers, or more than 1 if this host cannot reach the upstream.
double excess_of(const health_state& state, const upstream_id& upstream, instant now);

/// The assessment of `upstream` with the capacity floor as of the last `on_timer`.
health_assessment assessment_of(const health_state& state, const upstream_id& upstream);

/// The time by which an attempt on this route normally has its answer, from recent latency. It
/// serves to detect connections that have gone silent and to time hedged requests. Returns
/// `fallback` while the route has too few answers.
duration adaptive_timeout(const health_state& state, std::string_view service,
                          std::string_view route, duration fallback);

instant next_wakeup(const health_state& state);

} // namespace chivevane::health
