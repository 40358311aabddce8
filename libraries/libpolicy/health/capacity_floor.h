#pragma once

#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/health/health_status.h"
#include "libwire/upstream_id.h"

#include <span>
#include <string_view>

namespace chivevane::health {

/// One live, serving upstream of a service outside the data centres that are out.
struct floor_member {
    const upstream_id* m_upstream = nullptr;
    double m_slots = 0;
    verdict m_verdict;
    double m_excess = 0; ///< How bad it is; the least bad come back into use first.
};

/// Share of the capacity of `service` that must stay in use: the largest that a document asks for.
double floor_of(const configuration_state& configuration, std::string_view service);

/// Slots that get work: all of a healthy upstream, the share of a ramping one, none on trial.
double capacity_in_use(std::span<const floor_member> members);

/// Puts upstreams back into full use, least bad first, until the share `floor` of all slots is in
/// use. Depends on nothing but its arguments, so that equal views give equal results.
void enforce_floor(std::span<floor_member> members, double floor);

} // namespace chivevane::health
