#pragma once

#include "libpolicy/membership/membership_state.h"
#include "libpolicy/reducer_context.h"

/// Keeps this host's entry in the store under a lease, and reads the entries of other hosts to find
/// peers.
namespace chivevane::membership {

/// Schedules the first store call at a random time shortly after the start.
void start_registration(registration_state& state, reducer_context& context);

/// Makes the next store call when it is due. At most one call is in progress.
void advance_registration(registration_state& state, reducer_context& context,
                          std::size_t live_peers);

/// Handles the answer to the call in progress.
void on_registration_outcome(registration_state& state, reducer_context& context,
                             const store_outcome& outcome);

/// Revokes the lease, so that the store deletes the entry, and stops further calls.
void end_registration(registration_state& state, reducer_context& context);

} // namespace chivevane::membership
