#pragma once

#include "libpolicy/context.h"
#include "libpolicy/membership/membership_state.h"

/// This host's entry in the store under a lease, and the list of hosts to find peers by.
namespace chivevane::membership {

void start_registration(registration_state& state, context& surroundings);

/// Makes the next store call when it is due; at most one is under way.
void advance_registration(registration_state& state, context& surroundings, std::size_t live_peers);

/// Handles the answer to the call under way.
void on_registration_outcome(registration_state& state, context& surroundings,
                             const store_outcome& outcome);

/// Ends the lease, so that the entry is deleted.
void end_registration(registration_state& state, context& surroundings);

} // namespace chivevane::membership
