#include "priority_reference.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <iterator>
#include <utility>

namespace chivevane::test::priority_reference {

using namespace chivevane::admission;

namespace {

constexpr duration use_decay_time = 1s; // A flooding organisation yields for about this long.
constexpr double negligible_use = 0.05;

/// Recent use of a flow, decayed until now. Attempts without an organisation have no use, as they
/// cannot be attributed to one.
double reference_use_of(const fair_queue& queue, const queue_flow& flow, instant now)
{
    if (flow.m_organisation.empty()) {
        return 0;
    }
    const auto found = queue.m_recent_use.find(flow);
    if (found == queue.m_recent_use.end()) {
        return 0;
    }
    const auto age = to_seconds(now - found->second.m_decayed_at) / to_seconds(use_decay_time);
    return found->second.m_attempts * std::exp(-age);
}

void expire_use(fair_queue& queue, instant now)
{
    if (now < queue.m_next_use_expiry) {
        return;
    }
    queue.m_next_use_expiry = now + use_decay_time;
    std::erase_if(queue.m_recent_use, [&queue, now](const auto& entry) {
        return reference_use_of(queue, entry.first, now) < negligible_use;
    });
}

/// Removes flows without queued attempts, and recomputes the size and the earliest deadline.
void remove_empty_flows(fair_queue& queue)
{
    std::erase_if(queue.m_flows, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(queue.m_service_order,
                  [&queue](const auto& flow) { return !queue.m_flows.contains(flow); });
    queue.m_size = 0;
    queue.m_earliest_deadline = instant::max();
    for (const auto& [flow, attempts] : queue.m_flows) {
        queue.m_size += attempts.size();
        for (const auto& waiting : attempts) {
            queue.m_earliest_deadline = std::min(queue.m_earliest_deadline, waiting.m_deadline);
        }
    }
}

/// Removes and returns the flow that is served next: of the most urgent priority the one with the
/// least recent use, and of equal ones the longest unserved.
queue_flow take_next_flow(fair_queue& queue, instant now)
{
    const auto rank = [&queue, now](const queue_flow& flow) {
        return std::pair{flow.m_priority, reference_use_of(queue, flow, now)};
    };
    auto next = queue.m_service_order.begin();
    auto least = rank(*next);
    for (auto other = std::next(next); other != queue.m_service_order.end(); ++other) {
        if (const auto candidate = rank(*other); candidate < least) {
            next = other;
            least = candidate;
        }
    }
    auto flow = std::move(*next);
    queue.m_service_order.erase(next);
    return flow;
}

void reference_record_use(fair_queue& queue, const queue_flow& flow, instant now)
{
    const auto use = reference_use_of(queue, flow, now);
    queue.m_recent_use[flow] = {use + 1, now};
    expire_use(queue, now);
}

void reference_push(fair_queue& queue, const queued_attempt& attempt)
{
    auto flow = flow_of(attempt);
    auto& attempts = queue.m_flows[flow];
    if (attempts.empty()) {
        queue.m_service_order.push_back(std::move(flow));
    }
    attempts.push_back(attempt);
    ++queue.m_size;
    queue.m_earliest_deadline = std::min(queue.m_earliest_deadline, attempt.m_deadline);
}

std::optional<queued_attempt> reference_pop(fair_queue& queue, instant now)
{
    if (queue.m_size == 0) {
        return std::nullopt;
    }
    auto flow = take_next_flow(queue, now);
    const auto found = queue.m_flows.find(flow);
    assert(found != queue.m_flows.end() && !found->second.empty());
    auto attempt = std::move(found->second.front());
    found->second.pop_front();
    --queue.m_size;
    reference_record_use(queue, flow, now);
    if (found->second.empty()) {
        queue.m_flows.erase(found);
    }
    else {
        queue.m_service_order.push_back(std::move(flow));
    }
    return attempt;
}

std::vector<queued_attempt> reference_take_due(fair_queue& queue, instant limit)
{
    std::vector<queued_attempt> due;
    if (queue.m_earliest_deadline > limit) {
        return due;
    }
    const auto is_alive = [limit](const queued_attempt& waiting) {
        return waiting.m_deadline > limit;
    };
    for (auto& [flow, attempts] : queue.m_flows) {
        const auto first_due = std::stable_partition(attempts.begin(), attempts.end(), is_alive);
        std::copy(first_due, attempts.end(), std::back_inserter(due));
        attempts.erase(first_due, attempts.end());
    }
    remove_empty_flows(queue);
    return due;
}

std::uint32_t reference_next_priority(const fair_queue& queue)
{
    return queue.m_flows.begin()->first.m_priority; // Flows are in the order of their priority.
}

std::size_t reference_queue_length(const fair_queue& queue, const queue_flow& flow)
{
    const auto found = queue.m_flows.find(flow);
    return found == queue.m_flows.end() ? 0 : found->second.size();
}

std::size_t reference_count_ahead(const fair_queue& queue, const queue_flow& flow, instant now)
{
    const auto own = reference_queue_length(queue, flow);
    const auto own_use = reference_use_of(queue, flow, now) + static_cast<double>(own) + 1;
    auto ahead_count = static_cast<double>(own);
    for (const auto& [other, attempts] : queue.m_flows) {
        const auto length = static_cast<double>(attempts.size());
        if (other.m_priority < flow.m_priority) {
            ahead_count += length;
        }
        else if (other.m_priority == flow.m_priority && other != flow) {
            const auto ahead = std::ceil(own_use - reference_use_of(queue, other, now));
            ahead_count += std::clamp(ahead, 0.0, length);
        }
    }
    return static_cast<std::size_t>(ahead_count);
}

/// Length of the queue for each attempt that may run at once. In a longer one attempts would wait
/// longer than callers do.
constexpr std::size_t queue_length_per_running = 16;

constexpr double mean_weight = 0.05; ///< Averages about the last twenty runs.

/// The run time of the attempt itself is estimated as this multiple of its mean, so that most
/// attempts that are queued get their answer in time.
constexpr double run_time_margin_factor = 2;

/// Share of the concurrency up to which an attempt that must not be queued is started. The rest is
/// left for bursts, and an upstream that is nearly full answers slowly.
constexpr double idle_share = 0.75;

/// Share of the concurrency that less urgent attempts may use while more urgent ones are refused.
constexpr double less_urgent_share = 0.75;

/// How long after the refusal of an urgent attempt less urgent ones leave slots free.
constexpr duration urgent_refusal_memory = 1s;

/// Whether a start rate protects the upstream while it is cold.
bool is_rate_limited(const upstream_admission& upstream)
{
    return upstream.m_cold_bounds.m_start_rate > 0;
}

/// How many attempts may run at once. If the start rate that a cold upstream tolerates is
/// configured, that rate protects it and all slots are used. Otherwise the limit is learnt from its
/// answers.
std::uint32_t concurrency_of(const upstream_admission& upstream)
{
    return is_rate_limited(upstream) ? upstream.m_limit.m_slots : current_limit(upstream.m_limit);
}

/// Limit on starts: of those after `m_since`, at most `m_limit` may fall in any second.
struct start_limit {
    std::uint32_t m_limit = 1;
    instant m_since = instant::min();
};

start_limit start_limit_of(const upstream_admission& upstream)
{
    const auto whole = [](double starts) {
        return std::max(1U, static_cast<std::uint32_t>(starts));
    };
    if (upstream.m_announced == warm_up_state::cold) {
        return {whole(upstream.m_cold_bounds.m_start_rate)};
    }
    return {whole(upstream.m_cold_bounds.m_max_start_rate), upstream.m_confirmed_warm_at};
}

bool may_start_by_rate(upstream_admission& upstream, instant now)
{
    const auto [limit, since] = start_limit_of(upstream);
    return !is_rate_limited(upstream) || may_start(upstream.m_starts, limit, since, now);
}

/// Whether a more urgent attempt than one of `priority` was recently refused.
bool was_urgent_refused(const upstream_admission& upstream, std::uint32_t priority, instant now)
{
    return upstream.m_refused_at != instant::min() && upstream.m_refused_priority < priority &&
           now - upstream.m_refused_at < urgent_refusal_memory;
}

void record_queue_refusal(upstream_admission& upstream, std::uint32_t priority, instant now)
{
    if (priority <= upstream.m_refused_priority || !was_urgent_refused(upstream, priority, now)) {
        upstream.m_refused_priority = priority;
        upstream.m_refused_at = now;
    }
}

/// How many attempts may run at once when one of `priority` starts. While more urgent ones are
/// refused, the less urgent ones leave slots to them that they would hold for a whole run.
std::uint32_t concurrency_for(const upstream_admission& upstream, std::uint32_t priority,
                              instant now)
{
    const auto all = concurrency_of(upstream);
    return was_urgent_refused(upstream, priority, now)
               ? std::max(1U, static_cast<std::uint32_t>(all * less_urgent_share))
               : all;
}

/// Whether an attempt of `priority` may start.
bool has_room(upstream_admission& upstream, std::uint32_t priority, instant now)
{
    return upstream.m_running < concurrency_for(upstream, priority, now) &&
           now >= upstream.m_limit.m_paused_until && may_start_by_rate(upstream, now) &&
           may_start(upstream.m_accepted_rate, now);
}

/// Whether the upstream has capacity to spare.
bool is_idle(upstream_admission& upstream, std::uint32_t priority, instant now)
{
    const auto idle_limit =
        std::max(1U, static_cast<std::uint32_t>(concurrency_of(upstream) * idle_share));
    return upstream.m_running < idle_limit && has_room(upstream, priority, now);
}

void record_started(upstream_admission& upstream, instant now)
{
    ++upstream.m_running;
    record_start(upstream.m_accepted_rate, now);
    if (is_rate_limited(upstream)) {
        record_start(upstream.m_starts, now);
    }
}

/// How many attempts of one flow may be queued: an equal share of the queue among the flows of the
/// same or higher urgency. Attempts without an organisation can come from any number of callers and
/// may use the whole queue.
std::size_t max_queue_length(const upstream_admission& upstream, const queue_flow& flow)
{
    const auto queue_capacity = queue_length_per_running * concurrency_of(upstream);
    if (flow.m_organisation.empty()) {
        return queue_capacity;
    }
    const auto& flows = upstream.m_queue.m_flows;
    const auto competing_flows =
        std::count_if(flows.begin(), flows.end(), [&flow](const auto& entry) {
            return entry.first != flow && !entry.first.m_organisation.empty() &&
                   entry.first.m_priority <= flow.m_priority;
        });
    const bool has_more_urgent_calls =
        std::any_of(flows.begin(), flows.end(), [&flow](const auto& entry) {
            return entry.first.m_organisation.empty() && entry.first.m_priority <= flow.m_priority;
        });
    const auto sharing = competing_flows + (has_more_urgent_calls ? 2 : 1);
    return std::max<std::size_t>(1, queue_capacity / static_cast<std::size_t>(sharing));
}

/// When a new attempt would get its answer, after those that run and those queued ahead of it.
instant expected_answer(const upstream_admission& upstream, const queued_attempt& attempt,
                        instant now)
{
    const auto ahead =
        static_cast<std::int64_t>(reference_count_ahead(upstream.m_queue, flow_of(attempt), now));
    const auto wait_by_rate = time_for_starts(upstream.m_accepted_rate, ahead);
    if (is_rate_limited(upstream) || upstream.m_limit.m_announced == warm_up_state::warm) {
        const auto mean = from_seconds(upstream.m_mean_run_s);
        const auto own = attempt.m_expected_run == duration{} ? mean : attempt.m_expected_run;
        const duration wait = mean * (ahead + 1) / concurrency_of(upstream);
        return now + from_seconds(to_seconds(own) * run_time_margin_factor) +
               std::max(wait_by_rate, wait);
    }
    const auto typical = typical_latency(upstream.m_limit);
    const duration wait = typical * ahead / concurrency_of(upstream);
    return now + typical + std::max(wait_by_rate, wait);
}

bool may_wait(const upstream_admission& upstream, const queued_attempt& attempt, instant now)
{
    const auto flow = flow_of(attempt);
    return reference_queue_length(upstream.m_queue, flow) < max_queue_length(upstream, flow) &&
           expected_answer(upstream, attempt, now) <=
               std::min(attempt.m_target, attempt.m_deadline);
}

} // namespace

decision offer(admission_state& state, const queued_attempt& attempt, instant now)
{
    const auto found = state.m_upstreams.find(attempt.m_endpoint);
    if (found == state.m_upstreams.end()) {
        return decision::refused;
    }
    auto& upstream = found->second;
    const bool is_queueing_forbidden = attempt.m_queueing == queueing_permission::forbidden;
    const bool is_next = upstream.m_queue.m_size == 0 ||
                         attempt.m_priority < reference_next_priority(upstream.m_queue);
    if (is_next && (is_queueing_forbidden ? is_idle(upstream, attempt.m_priority, now)
                                          : has_room(upstream, attempt.m_priority, now))) {
        record_started(upstream, now);
        reference_record_use(upstream.m_queue, flow_of(attempt), now);
        return decision::started;
    }
    if (is_queueing_forbidden) {
        return decision::refused;
    }
    if (!may_wait(upstream, attempt, now)) {
        record_queue_refusal(upstream, attempt.m_priority, now);
        return decision::refused;
    }
    reference_push(upstream.m_queue, attempt);
    return decision::queued;
}

void release(admission_state& state, std::string_view endpoint, run_result result, duration latency,
             instant now, duration expected_run)
{
    const auto found = state.m_upstreams.find(endpoint);
    if (found == state.m_upstreams.end() || found->second.m_running == 0) {
        return;
    }
    auto& upstream = found->second;
    if (result == run_result::good || result == run_result::failed) {
        const auto weight = upstream.m_mean_run_s > 0 ? mean_weight : 1;
        upstream.m_mean_run_s += weight * (to_seconds(latency) - upstream.m_mean_run_s);
    }
    const run_sample sample{latency, expected_run, upstream.m_running};
    if (result == run_result::good) {
        on_good_answer(upstream.m_limit, sample, now);
    }
    else if (result == run_result::load_refused) {
        on_load_refused(upstream.m_limit, sample, now);
    }
    --upstream.m_running;
}

std::vector<queued_attempt> take_startable(admission_state& state, instant now)
{
    std::vector<queued_attempt> startable;
    for (auto& [endpoint, upstream] : state.m_upstreams) {
        while (upstream.m_queue.m_size > 0 &&
               has_room(upstream, reference_next_priority(upstream.m_queue), now)) {
            startable.push_back(*reference_pop(upstream.m_queue, now));
            record_started(upstream, now);
        }
    }
    return startable;
}

std::vector<queued_attempt> take_expired(admission_state& state, instant now)
{
    std::vector<queued_attempt> expired;
    for (auto& [endpoint, upstream] : state.m_upstreams) {
        const auto due =
            reference_take_due(upstream.m_queue, now + typical_latency(upstream.m_limit));
        std::copy(due.begin(), due.end(), std::back_inserter(expired));
    }
    return expired;
}

} // namespace chivevane::test::priority_reference
