#pragma once

#include "libpolicy/limits/decision.h"
#include "libpolicy/limits/limits_state.h"
#include "libpolicy/membership/membership_state.h"
#include "libpolicy/reducer_context.h"

#include <cstdint>
#include <string_view>
#include <vector>

/// Distributed rate limiting: one rate limit for each organisation over all hosts together.
///
/// Each organisation has a token bucket with burst b and rate r. At any time all hosts together
/// hold at most b of its tokens, and they refill at most r T tokens in T seconds; so at most
/// b + r T requests start in any window of T seconds. Both bounds hold because each of the
/// `total_units` units of the limit is used by one host at a time:
/// - The roster in the store assigns each unit to a holder, which normally is the only host that
///   can release it (roster.h; holder_lease.h covers holders that are unavailable).
/// - The organisations are hashed into slots, and each slot has one host as its broker. A holder
///   leases its units of a slot to the broker and uses them again only after the lease has expired
///   (share_leases.h).
/// - The broker lends tokens to other hosts. These tokens keep occupying capacity in its bucket
///   until they are known to be spent, are returned or expire (slot_pool.h, lending.h,
///   borrowing.h).
/// If the setting `rate_mode` is `metered`, the algorithm in metering.h replaces all of this.
namespace chivevane::limits {

/// Reads the roster and schedules the first lease round.
void start(limits_state& state, reducer_context& context);

/// Takes one token of `organisation` (document/organisation). If the result is `waiting`, a later
/// `deferred_decision` refers to the request by `request_id`.
decision take_token(limits_state& state, reducer_context& context, const membership_state& members,
                    std::string_view organisation, const rate_limit& limit,
                    std::uint64_t request_id);

/// Cancels a waiting request, for example after its caller has disconnected.
void cancel_waiting_request(limits_state& state, std::uint64_t request_id);

/// Returns the decisions on waiting requests that were made since the last call.
std::vector<deferred_decision> take_deferred_decisions(limits_state& state);

void on_loan_request(limits_state& state, reducer_context& context, const membership_state& members,
                     const host_identity& sender, const loan_request& request);

void on_loan_response(limits_state& state, reducer_context& context,
                      const membership_state& members, const host_identity& sender,
                      const loan_response& response);

/// Handles the store's answer to an operation of purpose `roster`.
void on_store_response(limits_state& state, reducer_context& context, std::uint64_t operation_id,
                       const store_outcome& outcome);

/// Handles a borrower's report on how many tokens of its loans it has spent.
void on_loan_report(limits_state& state, reducer_context& context, const host_identity& sender,
                    const loan_report& report);

/// Handles a broker's request to lease this host's units.
void on_share_lease_request(limits_state& state, reducer_context& context,
                            const membership_state& members, const host_identity& sender,
                            const share_lease_request& request);

/// Handles a holder's answer to a share lease request that this host sent.
void on_share_lease_response(limits_state& state, reducer_context& context,
                             const host_identity& sender, const share_lease_response& response);

void on_timer(limits_state& state, reducer_context& context, const membership_state& members);

/// Starts to release this host's units before the host shuts down.
void leave(limits_state& state, reducer_context& context);

/// Whether this host has released its units after `leave`, or cannot because the store is
/// unavailable.
bool has_left(const limits_state& state);

/// Removes the host called `name` from the roster because an operator states that all its processes
/// have ended. The statement cannot be verified: a process that still runs may use its units while
/// other hosts use them too.
void declare_dead(limits_state& state, reducer_context& context, std::string_view name);

/// When `on_timer` is due next.
instant next_wakeup(const limits_state& state);

} // namespace chivevane::limits
