#pragma once

#include "libbase/instant.h"

#include <deque>

namespace chivevane {

/// Requests without an organisation that failed at this host's ingress. The upstream beside it
/// makes its calls that way, and fails the request it runs when one of them fails.
struct failed_calls {
    std::deque<instant> m_at; ///< Oldest first.
};

/// A request without an organisation got no good answer.
void note_failed_call(failed_calls& calls, instant now);

/// Whether a call that failed since `began` may be why a run of the local upstream failed. Each
/// failed call explains one run.
bool explain_failure(failed_calls& calls, instant began);

} // namespace chivevane
