#pragma once

#include "libpolicy/ingress/ingress_state.h"
#include "libpolicy/reducer_context.h"
#include "libpolicy/transfer_events.h"

namespace chivevane {

struct host_state;

}

/// Serves callers: authenticates the request, finds its route, takes a token from the rate limit
/// and chooses an upstream. The ingress owns the request until the caller has the whole answer or a
/// refusal that states correctly whether the request may have run.
namespace chivevane::ingress {

void on_request(host_state& self, reducer_context& context, const inbound_request& request);

/// Cancels the request of a caller that closed its connection.
void on_caller_disconnected(host_state& self, reducer_context& context, exchange_id exchange);

void on_transfer_head(host_state& self, reducer_context& context, const transfer_head& answer);

void on_transfer_ended(host_state& self, reducer_context& context, const transfer_ended& end);

void on_cancel_attempt_response(host_state& self, reducer_context& context,
                                const cancel_attempt_response& response);

/// Continues the requests whose rate limit decision came after `on_request` had returned.
void on_token_decisions(host_state& self, reducer_context& context);

/// Processes all requests that are due: ends those past their deadline, asks gates for the
/// execution status of silent attempts, and sends hedged attempts.
void on_timer(host_state& self, reducer_context& context);

bool owns_transfer(const ingress_state& state, transfer_id transfer);

bool owns_exchange(const ingress_state& state, exchange_id exchange);

instant next_wakeup(const ingress_state& state);

} // namespace chivevane::ingress
