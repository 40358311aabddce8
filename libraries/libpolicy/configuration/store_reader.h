#pragma once

#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/membership/membership_state.h"
#include "libpolicy/reducer_context.h"

/// Reads documents from the store. Every host reads them at its start. Afterwards a few hosts of
/// each data centre, and hosts whose documents no peer has confirmed recently, watch the store.
namespace chivevane::configuration {

/// Schedules the first read at a random time after the start.
void start_reading(configuration_state& state, reducer_context& context);

/// Makes the next store call when it is due. At most one call is in progress.
void advance_reading(configuration_state& state, reducer_context& context,
                     const membership_state& members);

/// Handles the answer to a read or a watch.
void on_read_outcome(configuration_state& state, reducer_context& context,
                     const store_response& response);

/// Whether this host is one of the watchers of its data centre. Hosts that can read the store come
/// before those that cannot.
bool is_watcher(const configuration_state& state, const membership_state& members);

} // namespace chivevane::configuration
