#pragma once

#include "libpolicy/context.h"
#include "libpolicy/limits/limits_state.h"
#include "libpolicy/membership/membership_state.h"

#include <cstdint>
#include <string_view>

/// Who holds which share. The units of an entry are handed on in three ways only:
/// - its holder stops using them, waits until nobody it lent them to can, and then lowers its
/// entry;
/// - an operator declares the holder dead;
/// - the holder must have stopped, since its witnesses refuse it (authority.h).
/// A holder uses at most what the newest record it has seen gives it. While a write of its own may
/// still take effect, it uses no more than that write leaves it.
namespace chivevane::limits {

/// Key of the roster in the store.
constexpr std::string_view roster_key = "/chivevane/roster";

/// Reads the roster for the first time.
void start_roster(limits_state& state, context& surroundings);

/// Handles the answer to a call on the store.
void on_roster_answer(limits_state& state, context& surroundings, std::uint64_t operation_id,
                      const store_outcome& outcome);

/// Calls the store if something is to be read or written and a call is due.
void run_roster(limits_state& state, context& surroundings, const membership_state& members);

/// Notes that another host knows `version`; a newer one is read soon.
void hint_roster_version(limits_state& state, context& surroundings, std::uint64_t version);

/// Starts to hand this host's units on.
void leave_roster(limits_state& state, context& surroundings);

/// Notes an operator's word that all processes under `name` that hold units have ended.
void declare_holder_dead(limits_state& state, context& surroundings, std::string_view name);

/// Makes a read due soon, unless the store does not answer and one is due later anyway.
void require_roster_read(limits_state& state, context& surroundings);

/// Makes a call due soon, for something that came up, unless the store does not answer.
void wake_roster(limits_state& state, context& surroundings);

} // namespace chivevane::limits
