#pragma once

#include "libpolicy/effect.h"
#include "libpolicy/event.h"
#include "libpolicy/node_state.h"

namespace chivevane {

/// The initial state of a host and the effects of its start.
struct started_node {
    node_state m_state;
    effect_list m_effects;
};

/// Creates the initial state of a host.
started_node start_node(host_settings settings, instant now, std::int64_t wall_ms);

/// Handles one event: changes the state and returns the effects to carry out. All decisions of a
/// host are made here. The same settings and events always give the same effects.
effect_list reduce(node_state& node, const event& input);

/// Returns the time at which the next `timer_fired` is due.
instant next_wakeup(const node_state& node);

} // namespace chivevane
