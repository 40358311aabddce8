#pragma once

#include "libpolicy/membership/membership_state.h"
#include "libpolicy/reducer_context.h"

#include <cstddef>
#include <cstdint>

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

/// Handles a return of the store from an older copy, as of which it is in `era`; 0 if that is
/// unknown. This host's entry and lease may be lost, and another host may have a lease of the same
/// id. So the lease is neither renewed nor revoked any more, and the host registers again.
void on_store_returned(registration_state& state, reducer_context& context, std::uint64_t era,
                       std::size_t live_peers);

/// Handles that the documents in force are of `era` of the store. A later one than the known era
/// shows a return of the store.
void observe_store_era(registration_state& state, reducer_context& context, std::uint64_t era,
                       std::size_t live_peers);

/// Revokes the lease, so that the store deletes the entry, and stops further calls.
void end_registration(registration_state& state, reducer_context& context);

} // namespace chivevane::membership
