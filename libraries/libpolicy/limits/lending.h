#pragma once

#include "libpolicy/limits/limits_state.h"
#include "libpolicy/membership/membership_state.h"
#include "libpolicy/reducer_context.h"

namespace chivevane::limits {

/// Answers a host that requests a loan of tokens. A duplicate request gets the first answer again.
void answer_loan_request(limits_state& state, reducer_context& context,
                         const membership_state& members, const host_identity& sender,
                         const loan_request& request);

/// Releases the bucket capacity of lent tokens that a borrower reports as spent or returned.
void apply_loan_report(limits_state& state, reducer_context& context, const host_identity& sender,
                       const loan_report& report);

/// Releases the bucket capacity of expired loans and deletes them.
void expire_loans(limits_state& state, reducer_context& context);

} // namespace chivevane::limits
