#pragma once

#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/health/health_state.h"
#include "libpolicy/membership/membership_state.h"
#include "libpolicy/reducer_context.h"

#include <string_view>
#include <vector>

namespace chivevane::health {

/// How often the upstreams are evaluated.
constexpr duration evaluation_interval = 250ms;

/// Adds newly received answers to the evidence on their upstream; the next evaluation uses them.
void merge_evidence(health_state& state, const received_evidence& evidence, instant now);

/// Updates which upstreams are announced and which data centres are taken out of use, begins the
/// ramp of upstreams whose data centre returns to use, and erases long absent upstreams.
void update_upstreams(health_state& state, const membership_state& members,
                      const configuration_state& configuration, instant now);

/// Compares the upstreams of each service with each other and changes their health status.
void evaluate_upstreams(health_state& state, reducer_context& context);

} // namespace chivevane::health
