#pragma once

#include "libpolicy/effect.h"
#include "libpolicy/event.h"
#include "libpolicy/host_state.h"

namespace chivevane {

/// The initial state of a host and the effects of its start.
struct started_host {
    host_state m_state;
    effect_list m_effects;
};

/// Creates the initial state of a host.
started_host start_host(host_settings settings, instant now, std::int64_t wall_ms);

/// Handles one event: changes the state and returns the effects to carry out. All decisions of a
/// host are made here. The same settings and events always give the same effects.
effect_list reduce(host_state& self, const event& input);

/// Returns the time at which the next `timer_fired` is due.
instant next_wakeup(const host_state& self);

} // namespace chivevane
