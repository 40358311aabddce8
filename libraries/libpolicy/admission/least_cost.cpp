#include "libpolicy/admission/least_cost.h"

#include "libpolicy/admission/queue_entry.h"

#include <algorithm>
#include <map>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace chivevane::admission {

namespace {

/// Interval at which the queue is planned anew while no attempt arrives.
constexpr duration plan_interval = 50ms;

load_shedding::upstream_load load_for_plan(const upstream_admission& upstream, instant now)
{
    const auto& accepted = upstream.m_accepted_rate;
    return {concurrency_of(upstream),
            upstream.m_running,
            mean_run_of(upstream),
            accepted.m_rate,
            accepted.m_tokens,
            queue_capacity(upstream),
            now};
}

load_shedding::queued_work work_of(const upstream_admission& upstream,
                                   const queued_attempt& attempt, double flow_use)
{
    return {attempt.m_priority, attempt.m_organisation, flow_use, due_time_of(attempt),
            attempt.m_expected_run == duration{} ? mean_run_of(upstream) : attempt.m_expected_run};
}

/// The queued attempts as the decisions need them, with the attempts that they stand for.
struct queue_view {
    std::vector<load_shedding::queued_work> m_work;
    std::vector<const queued_attempt*> m_attempts;
};

queue_view view_of(const upstream_admission& upstream, instant now)
{
    queue_view view;
    view.m_work.reserve(upstream.m_queue.m_size + 1);
    view.m_attempts.reserve(upstream.m_queue.m_size);
    for (const auto& [flow, attempts] : upstream.m_queue.m_flows) {
        const auto use = use_of(upstream.m_queue, flow, now);
        for (const auto& waiting : attempts) {
            view.m_work.push_back(work_of(upstream, waiting, use));
            view.m_attempts.push_back(&waiting);
        }
    }
    return view;
}

/// Moves attempts from the queue to `m_shed`.
void move_to_shed(upstream_admission& upstream, const queue_view& view,
                  std::span<const load_shedding::shed_work> shed)
{
    if (shed.empty()) {
        return;
    }
    std::map<attempt_id, load_shedding::shed_cause> causes;
    std::set<attempt_id> ids;
    for (const auto& each : shed) {
        const auto& id = view.m_attempts[each.m_index]->m_attempt;
        causes.emplace(id, each.m_cause);
        ids.insert(id);
    }
    for (auto& taken : take(upstream.m_queue, ids)) {
        const auto cause = causes.at(taken.m_attempt);
        upstream.m_shed.push_back({std::move(taken), cause});
    }
}

} // namespace

duration mean_run_of(const upstream_admission& upstream)
{
    return from_seconds(upstream.m_mean_run_s);
}

bool uses_least_cost(const admission_state& state, const upstream_admission& upstream)
{
    const bool is_chosen = state.m_overload == overload_policy::least_cost_if_learned
                               ? !is_rate_limited(upstream)
                               : state.m_overload == overload_policy::least_cost;
    return is_chosen && mean_run_of(upstream) > duration{};
}

std::optional<load_shedding::shed_cause> queue_by_cost(upstream_admission& upstream,
                                                       const queued_attempt& attempt, instant now)
{
    const auto view = view_of(upstream, now);
    const auto newcomer =
        work_of(upstream, attempt, use_of(upstream.m_queue, flow_of(attempt), now));
    const auto decision =
        load_shedding::decide_newcomer(view.m_work, newcomer, load_for_plan(upstream, now));
    if (decision.m_refused) {
        return decision.m_refused;
    }
    move_to_shed(upstream, view, decision.m_shed);
    auto queued = attempt;
    queued.m_expected_run = newcomer.m_run;
    push(upstream.m_queue, queued, queue_order::by_due_time);
    return std::nullopt;
}

double cost_to_flow(const admission_state& state, const upstream_admission& upstream,
                    const queued_attempt& attempt)
{
    return uses_least_cost(state, upstream) ? cost_of(attempt, mean_run_of(upstream)) : 1;
}

std::optional<queued_attempt> pop_by_cost(upstream_admission& upstream, instant now)
{
    const auto view = view_of(upstream, now);
    const auto plan = load_shedding::make_plan(view.m_work, load_for_plan(upstream, now));
    if (!plan.m_shed.empty()) {
        move_to_shed(upstream, view, plan.m_shed);
        return std::nullopt;
    }
    const auto next = view.m_attempts[plan.m_run_order.front()]->m_attempt;
    auto taken = take(upstream.m_queue, {next}).front();
    record_use(upstream.m_queue, flow_of(taken), now, cost_of(taken, mean_run_of(upstream)));
    return taken;
}

void shed_excess(upstream_admission& upstream, instant now)
{
    for (auto& waiting : take_hopeless(upstream.m_queue, now)) {
        upstream.m_shed.push_back({std::move(waiting), load_shedding::shed_cause::hopeless});
    }
    if (upstream.m_queue.m_size == 0 || now < upstream.m_next_plan) {
        return;
    }
    upstream.m_next_plan = now + plan_interval;
    const auto view = view_of(upstream, now);
    const auto plan = load_shedding::make_plan(view.m_work, load_for_plan(upstream, now));
    move_to_shed(upstream, view, plan.m_shed);
}

instant next_shed_check(const upstream_admission& upstream)
{
    if (!upstream.m_shed.empty()) {
        return instant{};
    }
    return upstream.m_queue.m_size == 0
               ? instant::max()
               : std::min(upstream.m_next_plan, upstream.m_queue.m_earliest_latest_start);
}

} // namespace chivevane::admission
