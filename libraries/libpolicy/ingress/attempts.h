#pragma once

#include "libpolicy/ingress/destinations.h"
#include "libpolicy/ingress/ingress_state.h"
#include "libpolicy/reducer_context.h"
#include "libpolicy/refusal.h"

namespace chivevane {

struct host_state;

}

/// Sends the attempts of a request, and decides what follows when an attempt has ended.
namespace chivevane::ingress {

/// Sends the first attempt, or refuses the request if it is quarantined or no upstream takes it.
void start_first_attempt(host_state& self, reducer_context& context, ingress_request& request);

void send_attempt(host_state& self, reducer_context& context, ingress_request& request,
                  const destination& target);

/// Spends the retry or reroute budget for one more attempt. Returns false if the deadline, the
/// route's limit on attempts or the budget forbids it. `reason` is why the previous attempt ended.
bool spend_budget_for_attempt(host_state& self, reducer_context& context,
                              const ingress_request& request, const refusal& reason);

/// Ends an attempt that got no answer. Then sends the next attempt if that is safe and within the
/// budget, waits for another pending attempt, or refuses the request with `reason`.
void end_attempt(host_state& self, reducer_context& context, ingress_request& request,
                 ingress_attempt& attempt, const refusal& reason);

/// Ends an attempt that no upstream saw, and sends a new one to the same gate. Continues as
/// `end_attempt` does if the request has another pending attempt or has been resent too often.
void resend_to_same_gate(host_state& self, reducer_context& context, ingress_request& request,
                         ingress_attempt& attempt, connection_reuse reuse);

/// Sends another attempt of an idempotent request all of whose pending attempts are stalled, if the
/// budget allows it and an upstream without a pending attempt is found. `reason` is why the last
/// attempt ended or was found stalled. The first answer to arrive is relayed.
void send_beside_stalled_attempts(host_state& self, reducer_context& context,
                                  ingress_request& request, const refusal& reason);

/// Cancels the transfer of an attempt, if it has one, and so closes its connection.
void cancel_attempt(host_state& self, reducer_context& context, ingress_attempt& attempt);

/// Ends the request without a complete answer: sends a refusal, or aborts the caller's connection
/// if a part of the answer was relayed. `m_outcome` of `reason` is ignored; the outcome follows
/// from all attempts.
void fail_request(host_state& self, reducer_context& context, ingress_request& request,
                  refusal reason);

/// Ends all open requests because the process is about to stop. A request is reported as not run
/// only if that is proven for all its attempts.
void fail_all_requests(host_state& self, reducer_context& context);

/// Removes a request that has ended. Its transfers must have ended or been cancelled.
void remove_request(host_state& self, ingress_request& request);

/// Recomputes when the request is next due and updates `ingress_state::m_due_requests`.
void reschedule(ingress_state& state, ingress_request& request);

/// Records the failure of a request without an organisation. Such a request may be a call that the
/// upstream on this host makes, whose failure explains a failure of that upstream's own run.
void record_failed_upstream_call(host_state& self, const ingress_request& request, instant now);

/// Whether any attempt still awaits its answer or the report of its execution status.
bool has_pending_attempt(const ingress_request& request);

} // namespace chivevane::ingress
