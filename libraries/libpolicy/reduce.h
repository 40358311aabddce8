#pragma once

#include "libpolicy/effect.h"
#include "libpolicy/event.h"
#include "libpolicy/node_state.h"

namespace chivevane {

/// The state of a process that starts now, and the effects of starting.
struct started_node {
    node_state m_state;
    effect_list m_effects;
};
started_node start_node(host_settings settings, instant now, std::int64_t wall_ms);

/// Handles one event: changes the state and returns what is to be done. All decisions of a host are
/// made here; the same events give the same effects.
effect_list reduce(node_state& node, const event& occurrence);

/// When the next `timer_fired` is due.
instant next_wakeup(const node_state& node);

} // namespace chivevane
