#pragma once

#include "libbase/instant.h"
#include "libpolicy/explain/request_explanation.h"
#include "libpolicy/host_state.h"

namespace chivevane {

/// Explains where a request would go if it arrived now, without sending it. The decisions are made
/// by the functions that requests use, on a copy of the random engine and of the rate limits, so
/// that `self` stays as it is. What the gate would decide is not explained: only the gate knows.
request_explanation explain_request(const host_state& self, instant now,
                                    const explanation_query& query);

} // namespace chivevane
