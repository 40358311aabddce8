#include "libpolicy/admission/fair_queue.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <iterator>
#include <utility>

namespace chivevane::admission {

namespace {

constexpr duration use_decay_time = 1s; // A flooding organisation yields for about this long.
constexpr double negligible_use = 0.05;

void expire_use(fair_queue& queue, instant now)
{
    if (now < queue.m_next_use_expiry) {
        return;
    }
    queue.m_next_use_expiry = now + use_decay_time;
    std::erase_if(queue.m_recent_use, [&queue, now](const auto& entry) {
        return use_of(queue, entry.first, now) < negligible_use;
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
    queue.m_earliest_latest_start = instant::max();
    for (const auto& [flow, attempts] : queue.m_flows) {
        queue.m_size += attempts.size();
        for (const auto& waiting : attempts) {
            queue.m_earliest_deadline = std::min(queue.m_earliest_deadline, waiting.m_deadline);
            queue.m_earliest_latest_start =
                std::min(queue.m_earliest_latest_start, latest_start_of(waiting));
        }
    }
}

/// Removes and returns the attempts for which `is_taken` is true.
template <typename Predicate>
std::vector<queued_attempt> take_if(fair_queue& queue, Predicate is_taken)
{
    std::vector<queued_attempt> taken;
    for (auto& [flow, attempts] : queue.m_flows) {
        const auto first = std::stable_partition(
            attempts.begin(), attempts.end(),
            [&is_taken](const queued_attempt& waiting) { return !is_taken(waiting); });
        std::copy(first, attempts.end(), std::back_inserter(taken));
        attempts.erase(first, attempts.end());
    }
    remove_empty_flows(queue);
    return taken;
}

/// Removes and returns the flow that is served next: of the most urgent priority the one with the
/// least recent use, and of equal ones the longest unserved.
queue_flow take_next_flow(fair_queue& queue, instant now)
{
    const auto rank = [&queue, now](const queue_flow& flow) {
        return std::pair{flow.m_priority, use_of(queue, flow, now)};
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

} // namespace

queue_flow flow_of(const queued_attempt& attempt)
{
    return {attempt.m_priority, attempt.m_organisation};
}

instant due_time_of(const queued_attempt& attempt)
{
    return std::min(attempt.m_target, attempt.m_deadline);
}

instant latest_start_of(const queued_attempt& attempt)
{
    return due_time_of(attempt) - attempt.m_expected_run;
}

double cost_of(const queued_attempt& attempt, duration mean_run)
{
    return mean_run == duration{} || attempt.m_expected_run == duration{}
               ? 1
               : to_seconds(attempt.m_expected_run) / to_seconds(mean_run);
}

double use_of(const fair_queue& queue, const queue_flow& flow, instant now)
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

void record_use(fair_queue& queue, const queue_flow& flow, instant now, double cost)
{
    const auto use = use_of(queue, flow, now);
    queue.m_recent_use[flow] = {use + cost, now};
    expire_use(queue, now);
}

void push(fair_queue& queue, const queued_attempt& attempt, queue_order order)
{
    auto flow = flow_of(attempt);
    auto& attempts = queue.m_flows[flow];
    if (attempts.empty()) {
        queue.m_service_order.push_back(std::move(flow));
    }
    const auto place = order == queue_order::by_arrival
                           ? attempts.end()
                           : std::upper_bound(attempts.begin(), attempts.end(), attempt,
                                              [](const queued_attempt& a, const queued_attempt& b) {
                                                  return due_time_of(a) < due_time_of(b);
                                              });
    attempts.insert(place, attempt);
    ++queue.m_size;
    queue.m_earliest_deadline = std::min(queue.m_earliest_deadline, attempt.m_deadline);
    queue.m_earliest_latest_start =
        std::min(queue.m_earliest_latest_start, latest_start_of(attempt));
}

std::optional<queued_attempt> pop(fair_queue& queue, instant now)
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
    record_use(queue, flow, now);
    if (found->second.empty()) {
        queue.m_flows.erase(found);
    }
    else {
        queue.m_service_order.push_back(std::move(flow));
    }
    return attempt;
}

bool remove_from_queue(fair_queue& queue, const attempt_id& attempt)
{
    for (auto& [flow, attempts] : queue.m_flows) {
        const auto found =
            std::find_if(attempts.begin(), attempts.end(),
                         [&attempt](const auto& waiting) { return waiting.m_attempt == attempt; });
        if (found != attempts.end()) {
            attempts.erase(found);
            remove_empty_flows(queue);
            return true;
        }
    }
    return false;
}

std::vector<queued_attempt> take_due(fair_queue& queue, instant limit)
{
    return queue.m_earliest_deadline > limit
               ? std::vector<queued_attempt>{}
               : take_if(queue, [limit](const queued_attempt& waiting) {
                     return waiting.m_deadline <= limit;
                 });
}

std::vector<queued_attempt> take_hopeless(fair_queue& queue, instant now)
{
    return queue.m_earliest_latest_start > now
               ? std::vector<queued_attempt>{}
               : take_if(queue, [now](const queued_attempt& waiting) {
                     return latest_start_of(waiting) <= now;
                 });
}

std::vector<queued_attempt> take(fair_queue& queue, const std::set<attempt_id>& attempts)
{
    return take_if(queue, [&attempts](const queued_attempt& waiting) {
        return attempts.contains(waiting.m_attempt);
    });
}

std::uint32_t next_priority(const fair_queue& queue)
{
    assert(!queue.m_flows.empty());
    return queue.m_flows.begin()->first.m_priority; // Flows are in the order of their priority.
}

std::size_t queue_length(const fair_queue& queue, const queue_flow& flow)
{
    const auto found = queue.m_flows.find(flow);
    return found == queue.m_flows.end() ? 0 : found->second.size();
}

std::size_t count_ahead(const fair_queue& queue, const queue_flow& flow, instant now)
{
    const auto own = queue_length(queue, flow);
    const auto own_use = use_of(queue, flow, now) + static_cast<double>(own) + 1;
    auto ahead_count = static_cast<double>(own);
    for (const auto& [other, attempts] : queue.m_flows) {
        const auto length = static_cast<double>(attempts.size());
        if (other.m_priority < flow.m_priority) {
            ahead_count += length;
        }
        else if (other.m_priority == flow.m_priority && other != flow) {
            const auto ahead = std::ceil(own_use - use_of(queue, other, now));
            ahead_count += std::clamp(ahead, 0.0, length);
        }
    }
    return static_cast<std::size_t>(ahead_count);
}

} // namespace chivevane::admission
