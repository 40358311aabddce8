#include "libpolicy/admission/admission.h"

#include "libpolicy/admission/least_cost.h"
#include "libpolicy/admission/queue_entry.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace chivevane::admission {

namespace {

constexpr double mean_weight = 0.05; ///< Averages about the last twenty runs.

/// Share of the concurrency up to which an attempt that must not be queued is started. The rest is
/// left for bursts, and an upstream that is nearly full answers slowly.
constexpr double idle_share = 0.75;

/// Share of the concurrency that less urgent attempts may use while more urgent ones are refused.
constexpr double less_urgent_share = 0.75;

/// How long after the refusal of an urgent attempt less urgent ones leave slots free.
constexpr duration urgent_refusal_memory = 1s;

/// Share of the start limit of an upstream of unknown warm-up state after which that state needs
/// confirmation. The rest covers the starts until the health check is answered.
constexpr double share_before_confirmation = 0.5;

/// The warm-up state that the concurrency limit starts from. A limit beside a configured start rate
/// only paces starts after refusals, as for a cold upstream.
warm_up_state basis_of_limit(const admission_state& state, const upstream_admission& upstream)
{
    const bool is_learnt_from_one =
        is_rate_limited(upstream) || state.m_limit_basis == limit_basis::answers;
    return is_learnt_from_one ? warm_up_state::cold : upstream.m_announced;
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

/// Returns until when slots that are free are left to urgent attempts, not to the next queued one;
/// a time in the past if they are not. The queue must not be empty.
instant end_of_reservation(const upstream_admission& upstream)
{
    const auto priority = next_priority(upstream.m_queue);
    const auto reduced = concurrency_for(upstream, priority, upstream.m_refused_at);
    return upstream.m_running < reduced ? instant::min()
                                        : upstream.m_refused_at + urgent_refusal_memory;
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

instant next_start_by_rate(const upstream_admission& upstream)
{
    const auto [limit, since] = start_limit_of(upstream);
    const auto accepted_at = next_start(upstream.m_accepted_rate);
    return is_rate_limited(upstream)
               ? std::max(accepted_at, next_start(upstream.m_starts, limit, since))
               : accepted_at;
}

/// Queues an attempt if the policy allows it. Returns whether it is queued.
bool try_queue(admission_state& state, upstream_admission& upstream, const queued_attempt& attempt,
               instant now)
{
    if (uses_least_cost(state, upstream)) {
        const auto refused = queue_by_cost(upstream, attempt, now);
        if (refused && refused != load_shedding::shed_cause::hopeless) {
            record_queue_refusal(upstream, attempt.m_priority, now);
        }
        return !refused;
    }
    if (!may_wait(upstream, attempt, now)) {
        record_queue_refusal(upstream, attempt.m_priority, now);
        return false;
    }
    push(upstream.m_queue, attempt);
    return true;
}

void record_started(upstream_admission& upstream, instant now)
{
    ++upstream.m_running;
    record_start(upstream.m_accepted_rate, now);
    if (is_rate_limited(upstream)) {
        record_start(upstream.m_starts, now);
    }
}

} // namespace

void set_upstream(admission_state& state, std::string_view endpoint, std::uint32_t slots,
                  warm_up_state announced, announced_run run, instant now)
{
    const auto [place, is_new] = state.m_upstreams.try_emplace(std::string{endpoint});
    auto& upstream = place->second;
    set_slots(upstream.m_limit, slots);
    const bool became_cold =
        upstream.m_announced == warm_up_state::warm && announced == warm_up_state::cold;
    if (run == announced_run::new_run) {
        set_rate(upstream.m_accepted_rate, std::nullopt, now);
    }
    upstream.m_announced = announced;
    const auto basis = basis_of_limit(state, upstream);
    if (is_new || became_cold || run == announced_run::new_run ||
        basis != upstream.m_limit.m_announced) {
        restart(upstream.m_limit, basis, now);
    }
}

void set_cold_bounds(admission_state& state, std::string_view endpoint, const cold_bounds& bounds)
{
    const auto found = state.m_upstreams.find(endpoint);
    if (found == state.m_upstreams.end()) {
        return;
    }
    auto& upstream = found->second;
    upstream.m_cold_bounds = bounds;
    if (const auto basis = basis_of_limit(state, upstream); basis != upstream.m_limit.m_announced) {
        restart(upstream.m_limit, basis, upstream.m_limit.m_reset_at);
    }
}

void set_accepted_rate(admission_state& state, std::string_view endpoint,
                       std::optional<double> rate, instant now)
{
    if (const auto found = state.m_upstreams.find(endpoint); found != state.m_upstreams.end()) {
        set_rate(found->second.m_accepted_rate, rate, now);
    }
}

bool needs_confirmation(admission_state& state, std::string_view endpoint, instant now)
{
    const auto found = state.m_upstreams.find(endpoint);
    if (found == state.m_upstreams.end() || !is_rate_limited(found->second) ||
        found->second.m_announced == warm_up_state::cold) {
        return false;
    }
    auto& upstream = found->second;
    const auto [limit, since] = start_limit_of(upstream);
    return static_cast<double>(count_starts(upstream.m_starts, since, now)) >=
           limit * share_before_confirmation;
}

void confirm_warm(admission_state& state, std::string_view endpoint, instant since)
{
    if (const auto found = state.m_upstreams.find(endpoint); found != state.m_upstreams.end()) {
        auto& confirmed_at = found->second.m_confirmed_warm_at;
        confirmed_at = std::max(confirmed_at, since);
    }
}

void mark_cold(admission_state& state, std::string_view endpoint)
{
    if (const auto found = state.m_upstreams.find(endpoint); found != state.m_upstreams.end()) {
        found->second.m_announced = warm_up_state::cold;
    }
}

void block_starts(admission_state& state, std::string_view endpoint, instant until)
{
    if (const auto found = state.m_upstreams.find(endpoint); found != state.m_upstreams.end()) {
        found->second.m_starts.m_blocked_until = until;
    }
}

std::vector<queued_attempt> take_waiting(admission_state& state, std::string_view endpoint)
{
    const auto found = state.m_upstreams.find(endpoint);
    return found == state.m_upstreams.end() ? std::vector<queued_attempt>{}
                                            : take_due(found->second.m_queue, instant::max());
}

std::vector<queued_attempt> remove_upstream(admission_state& state, std::string_view endpoint)
{
    const auto found = state.m_upstreams.find(endpoint);
    if (found == state.m_upstreams.end()) {
        return {};
    }
    auto waiting = take_due(found->second.m_queue, instant::max());
    for (auto& shed : found->second.m_shed) {
        waiting.push_back(std::move(shed.m_attempt));
    }
    state.m_upstreams.erase(found);
    return waiting;
}

decision offer(admission_state& state, const queued_attempt& attempt, instant now)
{
    const auto found = state.m_upstreams.find(attempt.m_endpoint);
    if (found == state.m_upstreams.end()) {
        return decision::refused;
    }
    auto& upstream = found->second;
    const bool is_queueing_forbidden = attempt.m_queueing == queueing_permission::forbidden;
    const bool is_next =
        upstream.m_queue.m_size == 0 || attempt.m_priority < next_priority(upstream.m_queue);
    if (is_next && (is_queueing_forbidden ? is_idle(upstream, attempt.m_priority, now)
                                          : has_room(upstream, attempt.m_priority, now))) {
        record_started(upstream, now);
        record_use(upstream.m_queue, flow_of(attempt), now, cost_to_flow(state, upstream, attempt));
        return decision::started;
    }
    if (is_queueing_forbidden) {
        return decision::refused;
    }
    return try_queue(state, upstream, attempt, now) ? decision::queued : decision::refused;
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

bool remove_from_queue(admission_state& state, std::string_view endpoint, const attempt_id& attempt)
{
    const auto found = state.m_upstreams.find(endpoint);
    return found != state.m_upstreams.end() && remove_from_queue(found->second.m_queue, attempt);
}

std::vector<queued_attempt> take_startable(admission_state& state, instant now)
{
    std::vector<queued_attempt> startable;
    for (auto& [endpoint, upstream] : state.m_upstreams) {
        while (upstream.m_queue.m_size > 0 &&
               has_room(upstream, next_priority(upstream.m_queue), now)) {
            auto next = uses_least_cost(state, upstream) ? pop_by_cost(upstream, now)
                                                         : pop(upstream.m_queue, now);
            if (next) {
                startable.push_back(*std::move(next));
                record_started(upstream, now);
            }
        }
    }
    return startable;
}

std::vector<queued_attempt> take_expired(admission_state& state, instant now)
{
    std::vector<queued_attempt> expired;
    for (auto& [endpoint, upstream] : state.m_upstreams) {
        if (uses_least_cost(state, upstream)) {
            continue; // `take_shed` removes them before.
        }
        const auto due = take_due(upstream.m_queue, now + typical_latency(upstream.m_limit));
        std::copy(due.begin(), due.end(), std::back_inserter(expired));
    }
    return expired;
}

std::vector<shed_attempt> take_shed(admission_state& state, instant now)
{
    std::vector<shed_attempt> shed;
    for (auto& [endpoint, upstream] : state.m_upstreams) {
        if (uses_least_cost(state, upstream)) {
            shed_excess(upstream, now);
        }
        for (auto& each : std::exchange(upstream.m_shed, {})) {
            if (each.m_cause != load_shedding::shed_cause::hopeless) {
                record_queue_refusal(upstream, each.m_attempt.m_priority, now);
            }
            ++state.m_shed_counts.at(static_cast<std::size_t>(each.m_cause));
            shed.push_back(std::move(each));
        }
    }
    return shed;
}

load load_of(const admission_state& state, std::string_view endpoint)
{
    const auto found = state.m_upstreams.find(endpoint);
    if (found == state.m_upstreams.end()) {
        return {};
    }
    const auto& upstream = found->second;
    return {concurrency_of(upstream), static_cast<std::uint32_t>(upstream.m_queue.m_size),
            upstream.m_running};
}

instant next_wakeup(const admission_state& state)
{
    auto earliest = instant::max();
    for (const auto& [endpoint, upstream] : state.m_upstreams) {
        if (uses_least_cost(state, upstream)) {
            earliest = std::min(earliest, next_shed_check(upstream));
        }
        if (upstream.m_queue.m_size == 0) {
            continue;
        }
        if (!uses_least_cost(state, upstream)) {
            const auto typical = typical_latency(upstream.m_limit);
            earliest = std::min(earliest, upstream.m_queue.m_earliest_deadline - typical);
        }
        if (upstream.m_running < concurrency_of(upstream)) {
            earliest = std::min(
                earliest, std::max({upstream.m_limit.m_paused_until, next_start_by_rate(upstream),
                                    end_of_reservation(upstream)}));
        }
    }
    return earliest;
}

} // namespace chivevane::admission
