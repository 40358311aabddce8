#pragma once

#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/health/health_state.h"
#include "libpolicy/membership/membership_state.h"
#include "libpolicy/reducer_context.h"
#include "libwire/host_address.h"
#include "libwire/upstream_id.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace chivevane::routing {

/// Whether a request may run twice without harm. Upstreams on trial get only idempotent requests.
enum class idempotency : std::uint8_t { idempotent, not_idempotent };

/// The request that an upstream is chosen for.
struct upstream_query {
    std::string_view m_service;
    idempotency m_idempotency = idempotency::not_idempotent;
    std::span<const upstream_id> m_tried; ///< Upstreams chosen again only if no other is left.
};

/// An upstream with the address and the incarnation of its gate.
struct upstream_location {
    upstream_id m_upstream;
    host_address m_gate;
    std::uint64_t m_gate_incarnation = 0;
};

/// A live, serving upstream of a service.
struct serving_upstream {
    upstream_location m_location;
    double m_slots = 1;                  ///< Requests that it runs at once.
    bool m_is_in_own_datacentre = false; ///< Whether it is in the data centre of this host.
};

/// Returns all live, serving upstreams of `service`, except those in data centres that a document
/// takes out of use.
std::vector<serving_upstream> find_upstreams(const reducer_context& context,
                                             const membership_state& members,
                                             const configuration_state& configuration,
                                             std::string_view service);

/// Chooses an upstream for one attempt. Returns nothing if no upstream may take it.
std::optional<upstream_location> choose_upstream(reducer_context& context,
                                                 const membership_state& members,
                                                 const health_state& health,
                                                 const configuration_state& configuration,
                                                 const upstream_query& query);

/// An upstream that `choose_upstream` may choose, with the probability of it.
struct choice_probability {
    upstream_id m_upstream;
    double m_probability = 0;
};

/// Returns the upstreams that `choose_upstream` may choose, with their probabilities.
std::vector<choice_probability> choice_probabilities(const reducer_context& context,
                                                     const membership_state& members,
                                                     const health_state& health,
                                                     const configuration_state& configuration,
                                                     const upstream_query& query);

} // namespace chivevane::routing
