#pragma once

#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/health/health_status.h"
#include "libwire/upstream_id.h"

#include <span>
#include <string_view>

namespace chivevane::health {

/// One live, serving upstream of a service, outside the data centres that are taken out of use.
struct floor_candidate {
    const upstream_id* m_upstream = nullptr;
    double m_slots = 0; ///< Requests that it can run at once.
    health_assessment m_assessment;
    double m_excess = 0; ///< How unhealthy it is; the least unhealthy return to use first.
};

/// The share of the capacity of `service` that must stay in use, 0 to 1: the largest that any
/// document demands.
double capacity_floor_of(const configuration_state& configuration, std::string_view service);

/// The slots in use: all of a healthy upstream, the ramp's share of a ramping one, and none of one
/// on trial or ejected.
double capacity_in_use(std::span<const floor_candidate> candidates);

/// Returns upstreams to full use, the least unhealthy first, until the share `floor` of all slots
/// is in use. The result depends on the arguments alone, so hosts with equal views agree.
void enforce_capacity_floor(std::span<floor_candidate> candidates, double floor);

} // namespace chivevane::health
