#pragma once

#include "libbase/instant.h"
#include "libpolicy/admission/queued_attempt.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chivevane::admission {

/// Recently started attempts of one flow, as an exponentially decaying sum of their costs.
struct recent_use {
    double m_attempts = 0; ///< An attempt counts as one, or by its run time; see `cost_of`.
    instant m_decayed_at;  ///< Time to which the decay is applied.
};

/// Flow of the fair queue: the attempts of one priority and one organisation, or of one priority
/// without an organisation.
struct queue_flow {
    std::uint32_t m_priority = 0;
    std::string m_organisation;

    auto operator<=>(const queue_flow&) const = default;
};

queue_flow flow_of(const queued_attempt& attempt);

/// Fair queue of the attempts that wait for one upstream. Flows of the most urgent queued priority
/// are served first. Among these the flow with the least recent use is next, and flows with equal
/// use are served in turn. Attempts of one flow keep their order of arrival, or run in the order in
/// which they are due.
///
/// This is deficit round robin with a cost for each attempt, except that use outlasts an empty
/// queue: attempts that started while the upstream was idle count for about a second, so that
/// an organisation that floods it yields when others come.
struct fair_queue {
    /// Queued attempts of each flow in the order in which they run.
    std::map<queue_flow, std::deque<queued_attempt>> m_flows;
    /// Flows with queued attempts, least recently served first.
    std::deque<queue_flow> m_service_order;
    std::map<queue_flow, recent_use> m_recent_use;
    instant m_next_use_expiry;                    ///< When negligible use is next removed.
    std::size_t m_size = 0;                       ///< Number of queued attempts.
    instant m_earliest_deadline = instant::max(); ///< Lower bound of the queued deadlines.
    /// Lower bound of the queued `latest_start_of`.
    instant m_earliest_latest_start = instant::max();
};

/// Order of the attempts of one flow.
enum class queue_order : std::uint8_t { by_arrival, by_due_time };

/// When an answer to the attempt is late: after its target or its deadline.
instant due_time_of(const queued_attempt& attempt);

/// Latest start at which the attempt's answer is expected in time.
instant latest_start_of(const queued_attempt& attempt);

/// Expected run time of an attempt in mean run times; one if either is unknown.
double cost_of(const queued_attempt& attempt, duration mean_run);

/// Records that an attempt of `flow` was started.
void record_use(fair_queue& queue, const queue_flow& flow, instant now, double cost = 1);

/// Recent use of a flow, decayed until now. Attempts without an organisation have no use, as they
/// cannot be attributed to one.
double use_of(const fair_queue& queue, const queue_flow& flow, instant now);

void push(fair_queue& queue, const queued_attempt& attempt,
          queue_order order = queue_order::by_arrival);

/// Removes and returns the next attempt, and records it as use of its flow. Empty if none is
/// queued.
std::optional<queued_attempt> pop(fair_queue& queue, instant now);

bool remove_from_queue(fair_queue& queue, const attempt_id& attempt);

/// Removes and returns all attempts whose deadline is not after `limit`.
std::vector<queued_attempt> take_due(fair_queue& queue, instant limit);

/// Removes and returns all attempts whose latest start is not after `now`.
std::vector<queued_attempt> take_hopeless(fair_queue& queue, instant now);

/// Removes and returns the given attempts.
std::vector<queued_attempt> take(fair_queue& queue, const std::set<attempt_id>& attempts);

/// Returns the priority of the next attempt. The queue must not be empty.
std::uint32_t next_priority(const fair_queue& queue);

std::size_t queue_length(const fair_queue& queue, const queue_flow& flow);

/// How many queued attempts would be served before a new one of `flow`.
std::size_t count_ahead(const fair_queue& queue, const queue_flow& flow, instant now);

} // namespace chivevane::admission
