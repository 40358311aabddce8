#pragma once

#include "libpolicy/limits/limits_state.h"
#include "libpolicy/membership/membership_state.h"
#include "libpolicy/reducer_context.h"

#include <vector>

/// A holder lease is a time-limited permission for a holder to use its own units. It lets other
/// hosts remove a holder that is unavailable and redistribute its units without using them twice.
///
/// Each roster entry names witnesses: several hosts that its holder chose, including itself. The
/// holder uses its units only within `holder_lease_duration` after it sent a request to
/// - a majority of its witnesses, which answered that they know of no removal mark on its entry, or
/// - the store, whose record had the entry without a removal mark.
/// To remove a holder, a host marks the entry and waits until a majority of its witnesses know of
/// the mark. It then waits until every earlier holder lease, and every share lease and loan granted
/// under it, must have expired. Any two majorities of one witness list share a witness, and a
/// witness process never forgets a mark; a restarted process counts as another witness. While the
/// store is unavailable no holder can be removed, and holders that reach their witnesses keep
/// working.
namespace chivevane::limits {

/// How long a confirmation from the store or the witnesses is valid, from when it was requested.
constexpr duration holder_lease_duration = 2s; // Six rounds of requests.

/// Number of witnesses of a holder, including itself.
constexpr std::size_t witness_count = 7; // Survives three deaths, or one of three data centres.

/// Whether the holder lease of this host is valid, so that it may use its own units now.
bool has_holder_lease(const limits_state& state, instant now);

/// Recalculates until when the holder lease of this host is valid.
void update_holder_lease(limits_state& state);

/// Whether this host confirms the holder lease of `holder`: it is one of the holder's witnesses and
/// knows of no removal mark on the holder's entry.
bool confirms_holder_lease(const limits_state& state, reducer_context& context,
                           const host_identity& holder);

/// The witnesses that this host should have. These are the present ones, unless they are too few or
/// too many of them are not alive.
std::vector<host_identity> choose_witnesses(const limits_state& state, reducer_context& context,
                                            const membership_state& members);

/// Updates `record` on the coordinator: marks holders that have been unavailable for long enough,
/// and removes marked holders that must have stopped using their units.
void plan_removals(limits_state& state, reducer_context& context, const membership_state& members,
                   roster_record& record);

/// Tracks unavailable holders, removal marks and this host's own witnesses, and schedules a store
/// call if one is needed.
void watch_holders(limits_state& state, reducer_context& context, const membership_state& members);

/// Whether membership considers this exact process (name and incarnation) usable.
bool is_alive(const membership_state& members, const host_identity& host);

/// Whether this host is the one that removes holders from the roster and distributes free units.
/// Hosts with different views of the members may each consider themselves the coordinator.
bool is_roster_coordinator(reducer_context& context, const membership_state& members);

} // namespace chivevane::limits
