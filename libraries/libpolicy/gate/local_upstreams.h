#pragma once

#include "libpolicy/context.h"
#include "libpolicy/gate/gate_events.h"
#include "libpolicy/gate/gate_state.h"

#include <string>
#include <string_view>
#include <vector>

namespace chivevane {

struct node_state;

}

/// The upstreams that announced themselves to this host.
namespace chivevane::gate {

/// Learns of an announcement and tells the other hosts.
void adopt_announcement(node_state& node, context& surroundings, const upstream_announced& news);

/// Removes the upstreams whose announcement lapsed; returns the attempts that waited for them.
std::vector<attempt_id> remove_lapsed(node_state& node, context& surroundings);

/// Tells the other hosts what stands behind this gate.
void publish_upstreams(node_state& node);

/// The upstream called `endpoint` if it takes new work; null otherwise.
const local_upstream* find_serving(const gate_state& state, std::string_view endpoint);

} // namespace chivevane::gate
