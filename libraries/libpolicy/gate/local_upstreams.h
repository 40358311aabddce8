#pragma once

#include "libpolicy/gate/gate_events.h"
#include "libpolicy/gate/gate_state.h"
#include "libpolicy/reducer_context.h"

#include <string>
#include <string_view>
#include <vector>

namespace chivevane {

struct host_state;

}

/// Registry of the upstreams that announced themselves to this host.
namespace chivevane::gate {

/// Adds or updates the announced upstream and publishes the change to the other hosts.
void apply_announcement(host_state& self, reducer_context& context,
                        const upstream_announcement& announcement);

/// Removes the upstreams whose announcement has expired. Returns the attempts that were queued for
/// them.
std::vector<attempt_id> remove_expired_upstreams(host_state& self, reducer_context& context);

/// Publishes the upstreams of this gate and their load to the other hosts.
void publish_upstreams(host_state& self);

/// The upstream called `endpoint` if it accepts new attempts; null otherwise.
const local_upstream* find_serving_upstream(const gate_state& state, std::string_view endpoint);

} // namespace chivevane::gate
