#pragma once

#include "libpolicy/limits/limits_state.h"
#include "libpolicy/membership/membership_state.h"
#include "libpolicy/reducer_context.h"

#include <cstdint>
#include <string_view>

/// The roster is a record in the store that assigns the units to their holders. The units of an
/// entry are reassigned in three cases only:
/// - Its holder stops using them, waits until no host that it lent them to can use them, and then
///   lowers its entry.
/// - An operator declares the holder dead.
/// - The holder must have stopped, since its witnesses no longer confirm its holder lease
///   (holder_lease.h).
/// A holder uses at most the units that the newest record it has seen assigns to it. While a write
/// of its own may still take effect, it uses no more units than that write leaves it.
namespace chivevane::limits {

/// Store key of the roster.
constexpr std::string_view roster_key = "/chivevane/roster";

/// Reads the roster for the first time.
void start_roster(limits_state& state, reducer_context& context);

/// Handles the answer to a store call. Answers to calls that are not pending are ignored.
void on_roster_answer(limits_state& state, reducer_context& context, std::uint64_t operation_id,
                      const store_outcome& outcome);

/// Sends a store call if one is due and there is something to read or write.
void run_roster(limits_state& state, reducer_context& context, const membership_state& members);

/// Handles the information that another host has seen `version` of the roster. If that is newer
/// than every version known here, a read is scheduled.
void observe_roster_version(limits_state& state, reducer_context& context, std::uint64_t version);

/// Starts to release all units of this host.
void leave_roster(limits_state& state, reducer_context& context);

/// Records an operator's statement that all processes called `name` that hold units have ended.
void declare_holder_dead(limits_state& state, reducer_context& context, std::string_view name);

/// Requires the next store call to be a read and schedules it, unless a call is pending. While the
/// store does not answer, the call keeps the time that its backoff gives it.
void schedule_roster_read(limits_state& state, reducer_context& context);

/// Schedules a store call with jitter, unless the store does not answer and the backoff gives the
/// time of the next call.
void schedule_roster_call(limits_state& state, reducer_context& context);

} // namespace chivevane::limits
