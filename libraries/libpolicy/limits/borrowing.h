#pragma once

#include "libpolicy/context.h"
#include "libpolicy/limits/limits_state.h"
#include "libpolicy/membership/membership_state.h"

#include <cstdint>
#include <string_view>

namespace chivevane::limits {

/// Takes one token for a request on this host, from its own pool, a loan or, later, a new loan.
verdict take_or_borrow(limits_state& state, context& surroundings, const membership_state& members,
                       std::string_view organisation, const rate_limit& limit,
                       std::uint64_t ticket);

/// Serves the waiting requests from the loan that came.
void take_loan(limits_state& state, context& surroundings, const membership_state& members,
               const host_identity& sender, const loan_response& response);

/// Repeats requests, ends waiting and gives back loans that are about to end.
void check_loans(limits_state& state, context& surroundings, const membership_state& members);

/// Tells lenders what became of their loans, when it is due.
void report_loans(limits_state& state, context& surroundings, const membership_state& members);

/// Forgets the accounts of organisations that were not used lately.
void forget_idle_accounts(limits_state& state, context& surroundings);

/// Forgets a waiting request.
void forget_ticket(limits_state& state, std::uint64_t ticket);

} // namespace chivevane::limits
