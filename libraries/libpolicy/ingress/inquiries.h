#pragma once

#include "libpolicy/context.h"
#include "libpolicy/ingress/ingress_state.h"

namespace chivevane {

struct node_state;

}

/// Asking gates what became of attempts whose answer is missing.
namespace chivevane::ingress {

/// The connection of a non-idempotent attempt is gone: asks its gate to void it.
void begin_void(node_state& node, context& surroundings, ingress_request& request,
                ingress_attempt& attempt);

/// Sends the inquiry of an attempt that is due, or draws the conclusion from the gate's silence.
void inquire(node_state& node, context& surroundings, ingress_request& request,
             ingress_attempt& attempt);

/// Acts on a gate's account of an attempt.
void apply_fate(node_state& node, context& surroundings, ingress_request& request,
                ingress_attempt& attempt, attempt_fate fate);

} // namespace chivevane::ingress
