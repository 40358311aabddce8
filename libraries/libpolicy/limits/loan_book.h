#pragma once

#include "libpolicy/context.h"
#include "libpolicy/limits/limits_state.h"
#include "libpolicy/membership/membership_state.h"

namespace chivevane::limits {

/// Answers a host that asks for tokens. A doubled request gets the first answer again.
void answer_loan_request(limits_state& state, context& surroundings,
                         const membership_state& members, const host_identity& sender,
                         const loan_request& request);

/// Frees the room of lent tokens that were spent or given back.
void apply_loan_report(limits_state& state, context& surroundings, const host_identity& sender,
                       const loan_report& report);

/// Frees the room of the loans that ran out.
void expire_loans(limits_state& state, context& surroundings);

} // namespace chivevane::limits
