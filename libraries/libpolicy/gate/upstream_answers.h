#pragma once

#include "libpolicy/gate/gate_state.h"
#include "libpolicy/reducer_context.h"
#include "libpolicy/transfer_events.h"

namespace chivevane {

struct host_state;

}

/// Handling of what an upstream answers to an attempt that was handed over to it.
namespace chivevane::gate {

/// Relays the answer to the ingress, or ends the attempt if the head is no answer to it.
void on_transfer_head(host_state& self, reducer_context& context, const transfer_head& answer);

/// Ends the attempt, as a failure of the upstream if it sent no complete answer.
void on_transfer_ended(host_state& self, reducer_context& context, const transfer_ended& end);

} // namespace chivevane::gate
