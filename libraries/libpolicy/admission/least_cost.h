#pragma once

#include "libbase/instant.h"
#include "libpolicy/admission/admission_state.h"

#include <optional>

namespace chivevane::admission {

/// Mean run time on the upstream over all routes; zero while unknown.
duration mean_run_of(const upstream_admission& upstream);

/// Whether the upstream's queue is ordered by `overload_policy::least_cost`. While no run time is
/// known, `overload_policy::priority` applies instead.
bool uses_least_cost(const admission_state& state, const upstream_admission& upstream);

/// Queues an attempt, and moves those that give way to it from the queue to `m_shed`. Returns why
/// the attempt is refused if it is not queued.
std::optional<load_shedding::shed_cause> queue_by_cost(upstream_admission& upstream,
                                                       const queued_attempt& attempt, instant now);

/// The cost of an attempt as use of its flow: one, or with `overload_policy::least_cost` its
/// expected run time in mean run times.
double cost_to_flow(const admission_state& state, const upstream_admission& upstream,
                    const queued_attempt& attempt);

/// Removes and returns the attempt that runs next, and records its cost as use of its flow. If some
/// can no longer be in time, moves these to `m_shed` and returns none.
std::optional<queued_attempt> pop_by_cost(upstream_admission& upstream, instant now);

/// Moves the hopeless attempts to `m_shed`, and from time to time those that will be late after
/// the attempts ahead of them, as runs take longer than expected or the concurrency has dropped.
void shed_excess(upstream_admission& upstream, instant now);

/// When `shed_excess` may next move something, or a time not after now if `m_shed` is not empty.
instant next_shed_check(const upstream_admission& upstream);

} // namespace chivevane::admission
