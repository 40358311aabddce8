#pragma once

#include "libpolicy/health/observation.h"
#include "libpolicy/ingress/ingress_state.h"
#include "libpolicy/reducer_context.h"
#include "libpolicy/transfer_events.h"

#include <string_view>

namespace chivevane {

struct host_state;

}

/// Handles the answers that the ingress gets from gates, and attempts whose answer is lost.
namespace chivevane::ingress {

/// Refers to the attempt that an event concerns, and to its request.
struct attempt_reference {
    ingress_request& m_request;
    ingress_attempt& m_attempt;
};

/// Reports the result of the attempt, as this host saw it, to outlier detection.
void report_observation(host_state& self, reducer_context& context,
                        const attempt_reference& reference, observed_result result);

/// Handles the loss of the answer to an attempt that may have run. An idempotent request may be
/// sent again; for any other request the gate is first asked whether the upstream ran the attempt.
void handle_lost_answer(host_state& self, reducer_context& context,
                        const attempt_reference& reference, refusal_kind kind);

/// Stores the clock reading and the load that the gate reports in `head`.
void record_gate_status(ingress_state& state, const ingress_attempt& attempt,
                        const response_head& head, instant now);

/// Handles a refusal that the gate sent in place of an answer from its upstream.
void handle_gate_refusal(host_state& self, reducer_context& context,
                         const attempt_reference& reference, const response_head& head,
                         std::string_view reason);

/// Handles the head of an upstream's answer: relays it, or sends the request to another upstream if
/// this one failed and a retry is allowed.
void handle_answer(host_state& self, reducer_context& context, const attempt_reference& reference,
                   const response_head& head);

/// Handles the end of a relayed transfer. A complete answer finishes the exchange. An incomplete
/// one is resumed from another upstream; if that is impossible, the caller's connection is aborted,
/// so that the caller can see that the answer is incomplete.
void handle_relay_end(host_state& self, reducer_context& context,
                      const attempt_reference& reference, const transfer_ended& end);

} // namespace chivevane::ingress
