#pragma once

#include "libbase/instant.h"

#include <deque>

namespace chivevane {

/// Failed requests without an organisation at this host's ingress. The upstream on this host sends
/// its calls to other services through that ingress, without an organisation. When such a call
/// fails, the upstream also fails the request that it runs, although the fault is not its own.
struct failed_upstream_calls {
    std::deque<instant> m_failed_at; ///< Times of the failures, oldest first.
};

/// Records that a request without an organisation got no successful answer.
void record_failed_call(failed_upstream_calls& calls, instant now);

/// Returns whether a call that failed since `run_started_at` may be the cause why a request failed
/// on the upstream of this host. The call is removed, as each failed call explains one failed
/// request.
bool consume_failed_call(failed_upstream_calls& calls, instant run_started_at);

} // namespace chivevane
