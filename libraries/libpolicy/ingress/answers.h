#pragma once

#include "libpolicy/context.h"
#include "libpolicy/health/observation.h"
#include "libpolicy/ingress/ingress_state.h"
#include "libpolicy/transfer_events.h"

#include <string_view>

namespace chivevane {

struct node_state;

}

/// What an ingress does with the answers of gates and with their absence.
namespace chivevane::ingress {

/// A request with the one of its attempts that an event is about.
struct found_attempt {
    ingress_request& m_request;
    ingress_attempt& m_attempt;
};

/// Gives health what this host saw of the attempt.
void observe(node_state& node, context& surroundings, const found_attempt& about,
             observed_result seen);

/// An attempt that may have run has no answer: asks for its fate where a second run would do harm.
void lose_answer(node_state& node, context& surroundings, const found_attempt& about,
                 refusal_kind kind);

/// Remembers the reading of the gate's clock and its load in `head`.
void learn_from_gate(ingress_state& state, const ingress_attempt& attempt,
                     const response_head& head, instant now);

/// The gate answered in place of its upstream.
void take_gate_refusal(node_state& node, context& surroundings, const found_attempt& about,
                       const response_head& head, std::string_view reason);

/// The upstream answered: relays the answer, or asks another upstream if that is better.
void take_answer(node_state& node, context& surroundings, const found_attempt& about,
                 const response_head& head);

/// A relayed answer has ended: finishes the exchange, goes on elsewhere, or cuts it visibly.
void end_relay(node_state& node, context& surroundings, const found_attempt& about,
               const transfer_ended& end);

} // namespace chivevane::ingress
