#pragma once

#include "libpolicy/gate/gate_state.h"
#include "libpolicy/reducer_context.h"
#include "libpolicy/refusal.h"

#include <string_view>

namespace chivevane {

struct host_state;

}

/// Handling of an attempt at the gate from its acceptance to its tombstone.
namespace chivevane::gate {

/// Starts, queues or refuses an attempt of `m_attempts`. Quarantined requests are refused.
/// Suspected ones run one at a time, and only at the gate of their owner.
void admit(host_state& self, reducer_context& context, const attempt_id& id);

/// Hands over the queued attempts that admission lets start.
void start_waiting(host_state& self, reducer_context& context);

/// Refuses an attempt that was not handed over, with the promise that it never runs. `crashed_run`
/// tells the ingress why the request is suspected.
void refuse_attempt(host_state& self, reducer_context& context, const attempt_id& id,
                    refusal_kind kind, std::string_view crashed_run = {});

/// Refuses the attempts that are queued for an upstream that accepts no new ones.
void refuse_queued(host_state& self, reducer_context& context, std::string_view endpoint);

/// Removes an attempt that was not handed over from its queue.
void remove_from_queue(host_state& self, const gate_attempt& attempt);

/// Releases the slot of an attempt that was handed over, and adds its tombstone.
void end_run(host_state& self, reducer_context& context, const attempt_id& id,
             execution_status status);

/// Checks the attempts whose check is due: handles those on silent connections and ends those past
/// their deadline.
void check_due_attempts(host_state& self, reducer_context& context);

/// What the gate saw of a run on the upstream.
enum class run_observation : std::uint8_t {
    answered,
    ended_without_answer,
    answered_other_request,
    truncated,
    silent
};

/// Reports the observation to failure detection.
void report_observation(host_state& self, reducer_context& context, const gate_attempt& attempt,
                        run_observation observation);

} // namespace chivevane::gate
