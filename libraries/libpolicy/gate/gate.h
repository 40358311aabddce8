#pragma once

#include "libpolicy/context.h"
#include "libpolicy/gate/gate_state.h"
#include "libpolicy/transfer_events.h"

namespace chivevane {

struct node_state;

}

/// The only way into the upstreams of this host: admits, queues, refuses, recognises copies, voids
/// and drains.
namespace chivevane::gate {

void on_announced(node_state& node, context& surroundings, const upstream_announced& news);

void on_request(node_state& node, context& surroundings, const inbound_request& request);

/// The ingress closed its connection: the attempt is cancelled.
void on_gone(node_state& node, context& surroundings, exchange_id exchange);

void on_transfer_head(node_state& node, context& surroundings, const transfer_head& answer);

void on_transfer_ended(node_state& node, context& surroundings, const transfer_ended& end);

/// Makes sure that an attempt that was not handed over never will be, and tells its fate.
void on_void_request(node_state& node, context& surroundings, const host_identity& sender,
                     const void_request& request);

void on_crash_report(node_state& node, context& surroundings, const host_identity& sender,
                     const crash_report& report);

/// Starts and refuses waiting attempts, expires upstreams and tombstones.
void on_timer(node_state& node, context& surroundings);

bool owns_transfer(const gate_state& state, transfer_id transfer);

bool owns_exchange(const gate_state& state, exchange_id exchange);

instant next_wakeup(const gate_state& state);

} // namespace chivevane::gate
