#pragma once

#include "libpolicy/admission/admission.h"

/// The decisions of admission as they were before load shedding (commit 606d66e), on the same
/// state. Tests compare `overload_policy::priority` with them.
namespace chivevane::test::priority_reference {

admission::decision offer(admission_state& state, const queued_attempt& attempt, instant now);

void release(admission_state& state, std::string_view endpoint, admission::run_result result,
             duration latency, instant now, duration expected_run = duration{});

std::vector<queued_attempt> take_startable(admission_state& state, instant now);

std::vector<queued_attempt> take_expired(admission_state& state, instant now);

} // namespace chivevane::test::priority_reference
