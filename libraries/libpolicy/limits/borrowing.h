#pragma once

#include "libpolicy/limits/limits_state.h"
#include "libpolicy/membership/membership_state.h"
#include "libpolicy/reducer_context.h"

#include <cstdint>
#include <string_view>

namespace chivevane::limits {

/// Takes one token for a request on this host, from the host's own pool or from an open loan. If
/// neither has a token, requests a loan from the slot's broker and returns `waiting`.
decision acquire_token(limits_state& state, reducer_context& context,
                       const membership_state& members, std::string_view organisation,
                       const rate_limit& limit, std::uint64_t request_id);

/// Handles a broker's answer to a loan request and decides the waiting requests that it settles.
void apply_loan_response(limits_state& state, reducer_context& context,
                         const membership_state& members, const host_identity& sender,
                         const loan_response& response);

/// Retries unanswered loan requests, refuses requests that have waited for too long, and closes
/// loans that have expired or are no longer used.
void check_loans(limits_state& state, reducer_context& context, const membership_state& members);

/// Reports to the lenders how many tokens of their loans were spent, when a report is due.
void report_loans(limits_state& state, reducer_context& context, const membership_state& members);

/// Removes the accounts of organisations that had no recent requests.
void evict_idle_accounts(limits_state& state, reducer_context& context);

/// Stops the waiting of the request with id `request_id`, if it waits for a loan.
void stop_waiting_for_loan(limits_state& state, std::uint64_t request_id);

} // namespace chivevane::limits
