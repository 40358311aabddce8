#pragma once

#include "libpolicy/context.h"
#include "libpolicy/gate/gate_state.h"
#include "libpolicy/refusal.h"

#include <string_view>

namespace chivevane {

struct node_state;

}

/// The life of an attempt at the gate between its arrival and its tombstone.
namespace chivevane::gate {

/// Lets an attempt of `m_attempts` start, wait or be refused. Quarantined requests are refused;
/// suspected ones run one at a time, and only at the gate of their owner.
void admit(node_state& node, context& surroundings, const attempt_id& id);

/// Hands over the waiting attempts whose turn has come.
void start_waiting(node_state& node, context& surroundings);

/// Refuses an attempt that was not handed over. It never will be. `strike` tells the ingress why
/// the request is suspected.
void refuse_attempt(node_state& node, context& surroundings, const attempt_id& id,
                    refusal_kind kind, std::string_view strike = {});

/// Takes an attempt that was not handed over out of its queue.
void withdraw(node_state& node, const gate_attempt& attempt);

/// Gives the slot of a handed-over attempt back and remembers its fate.
void end_run(node_state& node, context& surroundings, const attempt_id& id, attempt_fate fate);

/// Looks at the attempts that are due: repeats those on silent connections, ends the late ones.
void check_due(node_state& node, context& surroundings);

/// Gives the evidence on how the upstream did with `attempt`.
enum class run_evidence : std::uint8_t { answered, broke_off, crossed, truncated, silent };
void give_evidence(node_state& node, context& surroundings, const gate_attempt& attempt,
                   run_evidence seen);

} // namespace chivevane::gate
