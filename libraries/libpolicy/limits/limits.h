#pragma once

#include "libpolicy/context.h"
#include "libpolicy/limits/limits_state.h"
#include "libpolicy/limits/verdict.h"
#include "libpolicy/membership/membership_state.h"

#include <cstdint>
#include <string_view>
#include <vector>

/// One rate over all hosts.
///
/// For each organisation, with burst b and rate r, the tokens that exist anywhere never exceed b,
/// and those earned in T seconds never exceed r T; so no window of T sees more than b + r T starts.
/// Both sums hold because each unit of an organisation's share is in use by one host at a time:
/// - the roster in the store says whose it is, and only its holder hands it on (roster.h);
/// - the holder lends it to the slot's broker and takes it back after the broker stopped
///   (share_leases.h);
/// - tokens that the broker lends keep their room in its bucket until they are known to be spent,
///   given back or run out (slot_pool.h, loan_book.h, borrowing.h).
namespace chivevane::limits {

/// Reads the roster.
void start(limits_state& state, context& surroundings);

/// Takes one token of `organisation` (document/organisation). `ticket` names the request in a later
/// `settled_ticket`.
verdict take_token(limits_state& state, context& surroundings, const membership_state& members,
                   std::string_view organisation, const rate_limit& limit, std::uint64_t ticket);

/// Forgets a waiting request whose caller has gone.
void withdraw_ticket(limits_state& state, std::uint64_t ticket);

/// The late verdicts since the last call.
std::vector<settled_ticket> take_settled(limits_state& state);

void on_loan_request(limits_state& state, context& surroundings, const membership_state& members,
                     const host_identity& sender, const loan_request& request);

void on_loan_response(limits_state& state, context& surroundings, const membership_state& members,
                      const host_identity& sender, const loan_response& response);

/// Handles the store's answer to an operation of purpose `roster`.
void on_store_response(limits_state& state, context& surroundings, std::uint64_t operation_id,
                       const store_outcome& outcome);

/// Handles a borrower's account of its loans.
void on_loan_report(limits_state& state, context& surroundings, const host_identity& sender,
                    const loan_report& report);

/// Handles a broker's request for this host's shares.
void on_share_request(limits_state& state, context& surroundings, const membership_state& members,
                      const host_identity& sender, const share_request& request);

/// Handles a holder's answer to this host as a broker.
void on_share_response(limits_state& state, context& surroundings, const host_identity& sender,
                       const share_response& response);

void on_timer(limits_state& state, context& surroundings, const membership_state& members);

/// Gives this host's shares back before it leaves.
void leave(limits_state& state, context& surroundings);

/// Whether this host has given its shares back after `leave`, or cannot as the store is away.
bool has_left(const limits_state& state);

/// Takes the shares of the host called `name` away on an operator's word that all its processes
/// have ended. If one has not, it may still spend them: only a person can know.
void declare_dead(limits_state& state, context& surroundings, std::string_view name);

instant next_wakeup(const limits_state& state);

} // namespace chivevane::limits
