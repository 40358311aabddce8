#pragma once

#include "libpolicy/gate/gate_state.h"
#include "libpolicy/reducer_context.h"
#include "libpolicy/transfer_events.h"

namespace chivevane {

struct host_state;

}

/// Gate in front of the upstreams of this host, through which all requests to them pass. It admits,
/// queues or refuses attempts, detects duplicates, cancels attempts on request and drains
/// upstreams.
namespace chivevane::gate {

void on_announcement(host_state& self, reducer_context& context,
                     const upstream_announcement& announcement);

void on_request(host_state& self, reducer_context& context, const inbound_request& request);

/// Handles an ingress that closed its connection. Cancels the attempt unless it runs already and
/// must not run twice.
void on_ingress_disconnected(host_state& self, reducer_context& context, exchange_id exchange);

/// Makes sure that an attempt that was not handed over never is, and answers with its execution
/// status.
void on_cancel_attempt_request(host_state& self, reducer_context& context,
                               const host_identity& sender, const cancel_attempt_request& request);

void on_crash_report(host_state& self, reducer_context& context, const host_identity& sender,
                     const crash_report& report);

/// Checks running attempts, starts or refuses waiting ones, sends crash reports, and expires
/// upstreams, health checks, crashed runs and tombstones.
void on_timer(host_state& self, reducer_context& context);

/// Refuses the queued attempts for services whose documents take this host's data centre out of
/// use, so that they run elsewhere.
void on_documents_changed(host_state& self, reducer_context& context);

bool owns_transfer(const gate_state& state, transfer_id transfer);

bool owns_exchange(const gate_state& state, exchange_id exchange);

instant next_wakeup(const gate_state& state);

} // namespace chivevane::gate
