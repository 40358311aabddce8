#pragma once

#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/context.h"
#include "libpolicy/membership/membership_state.h"

/// Reads documents from the store: once at the start, and by a watch on a few hosts of each data
/// centre and on hosts that no peer agrees with.
namespace chivevane::configuration {

void start_reading(configuration_state& state, context& surroundings);

/// Makes the next call when it is due; at most one is under way.
void advance_reading(configuration_state& state, context& surroundings,
                     const membership_state& members);

/// Handles the answer to a read or a watch.
void on_read_outcome(configuration_state& state, context& surroundings,
                     const store_response& response);

/// Whether this host is one of the watchers of its data centre.
bool is_watcher(const membership_state& members);

} // namespace chivevane::configuration
