#pragma once

#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/context.h"
#include "libpolicy/health/health_state.h"
#include "libpolicy/membership/membership_state.h"

#include <string_view>
#include <vector>

namespace chivevane::health {

/// How often evidence is judged.
constexpr duration judgement_interval = 250ms;

/// Takes new answers into the pooled evidence; they count from the next judgement on.
void pool(health_state& state, const received_evidence& news, instant now);

/// Notes which upstreams are there and whose data centre is out; begins the ramp of those whose
/// data centre came back.
void follow_fleet(health_state& state, const membership_state& members,
                  const configuration_state& configuration, instant now);

/// Compares the upstreams of each service with each other and changes where they stand.
void judge(health_state& state, context& surroundings);

} // namespace chivevane::health
