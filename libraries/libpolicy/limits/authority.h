#pragma once

#include "libpolicy/context.h"
#include "libpolicy/limits/limits_state.h"
#include "libpolicy/membership/membership_state.h"

#include <vector>

/// When a holder must stop by itself, so that its units can be handed on.
///
/// Each entry of the roster names witnesses, chosen by its holder: some hosts, itself included. The
/// holder uses its units only within `authority_length` after it asked
/// - a majority of its witnesses, which answered that they know of no mark on its entry, or
/// - the store, whose record had the entry without a mark.
/// To remove a holder, a host marks the entry, sees that a majority of its witnesses know of the
/// mark, and waits until every authority from before must have ended, with all that was lent under
/// it. Two majorities of one list share a witness, and a witness never forgets a mark in its life;
/// a restarted one is another witness. So while the store is away nobody is removed, and all who
/// reach their witnesses go on.
namespace chivevane::limits {

/// How long an answer from the store or from the witnesses counts, from when it was asked for.
constexpr duration authority_length = 2s; // Six rounds of requests.

/// Hosts that vouch for one holder.
constexpr std::size_t witness_count = 7; // Survives three deaths, or one of three data centres.

/// Whether this host may use its own units now.
bool is_authorised(const limits_state& state, instant now);

/// Works out anew until when this host may use its own units.
void update_authority(limits_state& state);

/// Whether this host vouches for `holder`: it is a witness and knows of no mark.
bool vouches_for(const limits_state& state, context& surroundings, const host_identity& holder);

/// The witnesses that this host should have. The present ones, unless too many are gone.
std::vector<host_identity> choose_witnesses(const limits_state& state, context& surroundings,
                                            const membership_state& members);

/// Marks holders that are gone, or takes marked ones out once they must have stopped.
void plan_removals(limits_state& state, context& surroundings, const membership_state& members,
                   roster_record& record);

/// Watches the holders and the own witnesses; makes a call on the store due if one is needed.
void watch_holders(limits_state& state, context& surroundings, const membership_state& members);

/// Whether the process `host` is heard of as alive.
bool is_alive(const membership_state& members, const host_identity& host);

/// Whether this host does what one host must do for the roster.
bool is_caretaker(context& surroundings, const membership_state& members);

} // namespace chivevane::limits
