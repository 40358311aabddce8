#pragma once

#include "libpolicy/membership/membership_state.h"
#include "libpolicy/reducer_context.h"

/// The record that a host sends about itself, and when it is sent. What other modules change of it
/// stands in membership.h.
namespace chivevane::membership {

/// Gives the record of this host its next version, and makes it the one that the host knows of
/// itself.
void update_own_record(membership_state& state);

/// Sends the record to the peers if it has changed: at once, or after some seconds if only load
/// has.
void push_changes(membership_state& state, reducer_context& context);

/// Sends an urgently changed record again in the rounds after its change.
void push_again(membership_state& state, reducer_context& context);

} // namespace chivevane::membership
