#pragma once

#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/context.h"
#include "libpolicy/health/health_state.h"
#include "libpolicy/membership/membership_state.h"
#include "libwire/host_address.h"
#include "libwire/upstream_id.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace chivevane::routing {

/// Whether the request may be run twice without harm; trial requests must be idempotent.
enum class repeatability : std::uint8_t { idempotent, not_idempotent };

/// What a choice depends on besides the state of the fleet.
struct question {
    std::string_view m_service;
    repeatability m_repeatability = repeatability::not_idempotent;
    std::span<const upstream_id> m_tried; ///< Not to be chosen again while there are others.
};

/// An upstream with the way to its gate.
struct choice {
    upstream_id m_upstream;
    host_address m_gate;
    std::uint64_t m_gate_incarnation = 0;
};

/// A live, serving upstream of a service.
struct serving_upstream {
    choice m_choice;
    double m_slots = 1;
    bool m_is_near = false; ///< In the data centre of this host.
};

/// All live, serving upstreams of `service` outside the data centres that are out.
std::vector<serving_upstream> find_upstreams(const context& surroundings,
                                             const membership_state& members,
                                             const configuration_state& configuration,
                                             std::string_view service);

/// Chooses an upstream for one attempt; empty when none may take it.
std::optional<choice> choose_upstream(context& surroundings, const membership_state& members,
                                      const health_state& health,
                                      const configuration_state& configuration,
                                      const question& asked);

} // namespace chivevane::routing
