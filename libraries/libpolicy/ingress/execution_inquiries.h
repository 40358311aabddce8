#pragma once

#include "libpolicy/ingress/ingress_state.h"
#include "libpolicy/reducer_context.h"

namespace chivevane {

struct host_state;

}

/// Asks gates for the execution status of attempts whose answer is missing.
namespace chivevane::ingress {

/// Asks the gate to cancel a non-idempotent attempt whose connection is gone: the gate must not
/// start it any more, or report that it may have run.
void begin_cancellation(host_state& self, reducer_context& context, ingress_request& request,
                        ingress_attempt& attempt);

/// Sends the next inquiry about an attempt, or treats the gate as unreachable if it has not
/// responded to `max_inquiries` of them.
void process_due_inquiry(host_state& self, reducer_context& context, ingress_request& request,
                         ingress_attempt& attempt);

/// Handles the execution status that a gate reports for an attempt.
void apply_execution_status(host_state& self, reducer_context& context, ingress_request& request,
                            ingress_attempt& attempt, execution_status status);

} // namespace chivevane::ingress
