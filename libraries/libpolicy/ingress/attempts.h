#pragma once

#include "libpolicy/context.h"
#include "libpolicy/ingress/ingress_state.h"
#include "libwire/link_head.h"

#include <optional>

namespace chivevane {

struct node_state;

}

/// Where the attempts of a request go, and what follows when one has ended.
namespace chivevane::ingress {

/// Where an attempt is sent.
struct destination {
    routing::choice m_choice;
    connection_choice m_connection = connection_choice::reuse;
    link_waiting m_waiting = link_waiting::allowed;
    link_insistence m_insistence = link_insistence::none;
};

/// Starts the first attempt.
void start_first_attempt(node_state& node, context& surroundings, ingress_request& request);

/// Where the next attempt may go: to the owner of a suspected request, or as routing says.
std::optional<destination> find_destination(node_state& node, context& surroundings,
                                            const ingress_request& request);

/// Sends one more attempt.
void send_attempt(node_state& node, context& surroundings, ingress_request& request,
                  const destination& target);

/// Takes the right to one more attempt from the bounds of the route and the budget. `reason` is why
/// the attempt before it ended.
bool spend_attempt(node_state& node, context& surroundings, const ingress_request& request,
                   const refusal& reason);

/// An attempt has ended without an answer: goes on elsewhere if that is safe and affordable, waits
/// for another attempt under way, or tells the caller why it failed.
void end_attempt(node_state& node, context& surroundings, ingress_request& request,
                 ingress_attempt& attempt, const refusal& reason);

/// Sends an attempt anew to the same gate, as no upstream saw it. Ends it if that was done before.
void resend_to_same_gate(node_state& node, context& surroundings, ingress_request& request,
                         ingress_attempt& attempt, connection_choice connection);

/// Closes the connection of an attempt that is awaited.
void cancel_attempt(node_state& node, context& surroundings, ingress_attempt& attempt);

/// Refuses the request, or cuts its answer visibly if a part was relayed. `m_outcome` of `reason`
/// is not used: the outcome follows from all attempts.
void conclude(node_state& node, context& surroundings, ingress_request& request, refusal reason);

/// Answers all requests that still wait, since the process ends: as not run where that is proven.
void conclude_all(node_state& node, context& surroundings);

/// Forgets a request that has ended. Its connections must have been cancelled.
void forget_request(node_state& node, ingress_request& request);

/// Puts the request in its place in the order of time.
void reschedule(ingress_state& state, ingress_request& request);

/// Notes a failed request that may be a call of the upstream on this host.
void note_failure_of_call(node_state& node, const ingress_request& request, instant now);

/// Whether an answer to any attempt is still awaited.
bool has_live_attempt(const ingress_request& request);

} // namespace chivevane::ingress
