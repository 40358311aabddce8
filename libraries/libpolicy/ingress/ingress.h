#pragma once

#include "libpolicy/context.h"
#include "libpolicy/ingress/ingress_state.h"
#include "libpolicy/transfer_events.h"

namespace chivevane {

struct node_state;

}

/// The callers' side: authenticates, finds the route, takes a token, chooses an upstream, and owns
/// the request until the caller has the whole answer or a true refusal.
namespace chivevane::ingress {

void on_request(node_state& node, context& surroundings, const inbound_request& request);

/// The caller closed its connection.
void on_gone(node_state& node, context& surroundings, exchange_id exchange);

void on_transfer_head(node_state& node, context& surroundings, const transfer_head& answer);

void on_transfer_ended(node_state& node, context& surroundings, const transfer_ended& end);

void on_void_response(node_state& node, context& surroundings, const void_response& response);

/// Goes on with requests whose token verdict came late.
void on_tokens_settled(node_state& node, context& surroundings);

/// Ends attempts and requests whose time is up.
void on_timer(node_state& node, context& surroundings);

bool owns_transfer(const ingress_state& state, transfer_id transfer);

bool owns_exchange(const ingress_state& state, exchange_id exchange);

instant next_wakeup(const ingress_state& state);

} // namespace chivevane::ingress
