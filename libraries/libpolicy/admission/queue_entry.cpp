#include "libpolicy/admission/queue_entry.h"

#include <algorithm>

namespace chivevane::admission {

namespace {

/// Length of the queue for each attempt that may run at once. In a longer one attempts would wait
/// longer than callers do.
constexpr std::size_t queue_length_per_running = 16;

/// The run time of the attempt itself is estimated as this multiple of its mean, so that most
/// attempts that are queued get their answer in time.
constexpr double run_time_margin_factor = 2;

/// How many attempts of one flow may be queued: an equal share of the queue among the flows of the
/// same or higher urgency. Attempts without an organisation can come from any number of callers and
/// may use the whole queue.
std::size_t max_queue_length(const upstream_admission& upstream, const queue_flow& flow)
{
    const auto capacity = queue_capacity(upstream);
    if (flow.m_organisation.empty()) {
        return capacity;
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
    return std::max<std::size_t>(1, capacity / static_cast<std::size_t>(sharing));
}

/// When a new attempt would get its answer, after those that run and those queued ahead of it.
instant expected_answer(const upstream_admission& upstream, const queued_attempt& attempt,
                        instant now)
{
    const auto ahead =
        static_cast<std::int64_t>(count_ahead(upstream.m_queue, flow_of(attempt), now));
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

} // namespace

bool is_rate_limited(const upstream_admission& upstream)
{
    return upstream.m_cold_bounds.m_start_rate > 0;
}

std::uint32_t concurrency_of(const upstream_admission& upstream)
{
    return is_rate_limited(upstream) ? upstream.m_limit.m_slots : current_limit(upstream.m_limit);
}

std::size_t queue_capacity(const upstream_admission& upstream)
{
    return queue_length_per_running * concurrency_of(upstream);
}

bool may_wait(const upstream_admission& upstream, const queued_attempt& attempt, instant now)
{
    const auto flow = flow_of(attempt);
    return queue_length(upstream.m_queue, flow) < max_queue_length(upstream, flow) &&
           expected_answer(upstream, attempt, now) <=
               std::min(attempt.m_target, attempt.m_deadline);
}

} // namespace chivevane::admission
