#pragma once

#include "libpolicy/ingress/ingress_state.h"
#include "libpolicy/reducer_context.h"
#include "libpolicy/refusal.h"
#include "libwire/attempt_metadata.h"

#include <optional>
#include <variant>
#include <vector>

namespace chivevane {

struct host_state;

}

/// Chooses where the attempts of a request go.
namespace chivevane::ingress {

/// The upstream that an attempt is sent to, and how its gate is to treat the attempt.
struct destination {
    routing::upstream_location m_location;
    connection_reuse m_connection_reuse = connection_reuse::allowed;
    queueing_permission m_queueing = queueing_permission::allowed;
    circuit_breaker_mode m_circuit_breaker_mode = circuit_breaker_mode::enforce;
};

/// Chooses the destination of the next attempt. A request that is suspected of crashing upstreams
/// goes only to the host that owns its fingerprint; others follow the placement mode. Empty if no
/// upstream may take the request.
std::optional<destination> find_destination(const host_state& self, reducer_context& context,
                                            const ingress_request& request);

/// Decides where the first attempt of a request goes, or why the request is refused. Changes
/// nothing but the random engine of `context`.
std::variant<destination, refusal> plan_first_attempt(const host_state& self,
                                                      reducer_context& context,
                                                      const ingress_request& request);

/// An upstream that an attempt may be sent to.
struct possible_upstream {
    upstream_id m_upstream;
    double m_probability = 0; ///< That it is chosen among the upstreams of its step.
};

/// The upstreams that one attempt may be sent to, and how their gates are to treat it.
struct destination_step {
    std::vector<possible_upstream> m_upstreams;
    queueing_permission m_queueing = queueing_permission::allowed;
    circuit_breaker_mode m_circuit_breaker_mode = circuit_breaker_mode::enforce;
};

/// Returns the upstreams among which `find_destination` chooses for the next attempt, and in the
/// placement mode `probing` those of the attempts after it if every gate refuses without a report
/// of its load. Empty if no upstream may take the request.
std::vector<destination_step> possible_destinations(const host_state& self,
                                                    const reducer_context& context,
                                                    const ingress_request& request);

} // namespace chivevane::ingress
