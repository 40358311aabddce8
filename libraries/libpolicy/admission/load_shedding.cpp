#include "libpolicy/admission/load_shedding.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <numeric>
#include <tuple>
#include <utility>

namespace chivevane::load_shedding {

namespace {

constexpr std::array<std::string_view, shed_cause_count> cause_names{"hopeless", "late",
                                                                     "displaced", "queue-full"};

/// Work of one organisation at one priority.
struct flow {
    double m_claim = 0; ///< Slot time used lately and needed by its queued attempts, in mean runs.
    std::size_t m_priority_index = 0; ///< Position of its priority in `plan_state::m_levels`.
};

/// Work of all organisations at one priority.
struct priority_level {
    double m_claims = 0; ///< Sum of the claims of its flows.
    std::size_t m_flows = 0;

    double equal_share() const { return m_claims / static_cast<double>(m_flows); }
};

/// A queued attempt in the order in which attempts run.
struct planned_work {
    std::size_t m_index = 0; ///< Index into the queue.
    std::size_t m_flow = 0;
    double m_start_tag = 0; ///< What its flow will have used before it starts, in mean runs.
};

struct plan_state {
    std::span<const queued_work> m_queued;
    const upstream_load& m_load;
    std::vector<flow> m_flows;
    std::vector<priority_level> m_levels;
    std::vector<planned_work> m_kept; ///< Attempts that stay queued, in the order of their run.
    duration m_kept_work{};           ///< Sum of their expected run times.
    std::vector<shed_work> m_shed;
};

const queued_work& work_of(const plan_state& state, const planned_work& planned)
{
    return state.m_queued[planned.m_index];
}

double cost_of(const plan_state& state, const planned_work& planned)
{
    return to_seconds(work_of(state, planned).m_run) / to_seconds(state.m_load.m_mean_run);
}

/// Returns all queued attempts in the order in which they would run, and fills the flows.
std::vector<planned_work> sort_by_turn(plan_state& state)
{
    const auto queued = state.m_queued;
    std::vector<planned_work> sorted(queued.size());
    for (std::size_t index = 0; index < queued.size(); ++index) {
        sorted[index].m_index = index;
    }
    const auto flow_key = [queued](const planned_work& planned) {
        const auto& work = queued[planned.m_index];
        return std::tie(work.m_priority, work.m_organisation);
    };
    std::sort(sorted.begin(), sorted.end(), [&](const planned_work& a, const planned_work& b) {
        return std::tuple{flow_key(a), queued[a.m_index].m_due, a.m_index} <
               std::tuple{flow_key(b), queued[b.m_index].m_due, b.m_index};
    });
    for (std::size_t place = 0; place < sorted.size(); ++place) {
        auto& planned = sorted[place];
        const auto& work = work_of(state, planned);
        const bool is_new_flow = place == 0 || flow_key(planned) != flow_key(sorted[place - 1]);
        if (is_new_flow) {
            if (place == 0 || work.m_priority != work_of(state, sorted[place - 1]).m_priority) {
                state.m_levels.emplace_back();
            }
            state.m_flows.push_back({work.m_flow_use, state.m_levels.size() - 1});
            state.m_levels.back().m_claims += work.m_flow_use;
            ++state.m_levels.back().m_flows;
        }
        planned.m_flow = state.m_flows.size() - 1;
        // Attempts without an organisation cannot be attributed to one and have no use.
        planned.m_start_tag = work.m_organisation.empty() ? 0 : state.m_flows.back().m_claim;
        const auto cost = cost_of(state, planned);
        state.m_flows.back().m_claim += cost;
        state.m_levels.back().m_claims += cost;
    }
    std::stable_sort(sorted.begin(), sorted.end(), [&](const auto& a, const auto& b) {
        return std::pair{work_of(state, a).m_priority, a.m_start_tag} <
               std::pair{work_of(state, b).m_priority, b.m_start_tag};
    });
    return sorted;
}

/// When an attempt starts that has `ahead` attempts with this much work before it in the queue, if
/// a slot becomes free now.
instant earliest_start(const upstream_load& load, std::size_t ahead, duration work_ahead)
{
    duration wait = work_ahead / std::max(1U, load.m_concurrency);
    if (load.m_start_rate && *load.m_start_rate > 0) {
        const auto missing = static_cast<double>(ahead + 1) - load.m_available_starts;
        wait = std::max(wait, from_seconds(std::max(0.0, missing) / *load.m_start_rate));
    }
    return load.m_now + wait;
}

bool is_in_time(const plan_state& state, const queued_work& work, std::size_t ahead,
                duration work_ahead)
{
    return earliest_start(state.m_load, ahead, work_ahead) + work.m_run + work.m_margin <=
           work.m_due;
}

void shed(plan_state& state, const planned_work& planned, shed_cause cause)
{
    state.m_shed.push_back({planned.m_index, cause});
    const auto cost = cost_of(state, planned);
    auto& from = state.m_flows[planned.m_flow];
    from.m_claim -= cost;
    state.m_levels[from.m_priority_index].m_claims -= cost;
}

/// Removes an attempt that was to stay queued.
void shed_kept(plan_state& state, std::vector<planned_work>::iterator victim, shed_cause cause)
{
    state.m_kept_work -= work_of(state, *victim).m_run;
    shed(state, *victim, cause);
    state.m_kept.erase(victim);
}

/// Whether an attempt of `from` may give way to one of `to`.
bool may_displace(const plan_state& state, std::size_t from, std::size_t to)
{
    const auto& giving = state.m_flows[from];
    const auto& taking = state.m_flows[to];
    if (giving.m_priority_index != taking.m_priority_index) {
        return false;
    }
    const auto share = state.m_levels[giving.m_priority_index].equal_share();
    return from == to || (giving.m_claim > share && giving.m_claim > taking.m_claim);
}

/// Whether an attempt is in time that is next in the order, if the kept attempt `other` gives way.
bool is_in_time_without(const plan_state& state, const queued_work& work, const planned_work& other)
{
    return is_in_time(state, work, state.m_kept.size() - 1,
                      state.m_kept_work - work_of(state, other).m_run);
}

/// Whether the kept attempt `other` is still in time right after one that is next in the order.
bool is_in_time_after(const plan_state& state, const planned_work& other, const queued_work& work)
{
    const auto& deferred = work_of(state, other);
    return is_in_time(state, deferred, state.m_kept.size(),
                      state.m_kept_work - deferred.m_run + work.m_run);
}

/// How a costlier attempt gives way to one that would be late after it.
enum class giving_way : std::uint8_t {
    deferred, ///< It runs right after the other one, and is still in time.
    refused
};

/// Returns the kept attempt with the most work, and more than `planned`, that may give way to it
/// and makes it be in time; the end if there is none.
std::vector<planned_work>::iterator find_costliest(plan_state& state, const planned_work& planned,
                                                   giving_way way)
{
    const auto& work = work_of(state, planned);
    auto costliest = state.m_kept.end();
    auto most = work.m_run;
    for (auto other = state.m_kept.begin(); other != state.m_kept.end(); ++other) {
        const auto run = work_of(state, *other).m_run;
        if (run > most && may_displace(state, other->m_flow, planned.m_flow) &&
            is_in_time_without(state, work, *other) &&
            (way == giving_way::refused || is_in_time_after(state, *other, work))) {
            costliest = other;
            most = run;
        }
    }
    return costliest;
}

void keep(plan_state& state, const planned_work& planned)
{
    state.m_kept.push_back(planned);
    state.m_kept_work += work_of(state, planned).m_run;
}

/// Keeps the attempt that is next in the order if it can be in time, or refuses it.
void place(plan_state& state, const planned_work& planned)
{
    const auto& work = work_of(state, planned);
    if (state.m_load.m_now + work.m_run > work.m_due) {
        shed(state, planned, shed_cause::hopeless);
        return;
    }
    if (is_in_time(state, work, state.m_kept.size(), state.m_kept_work)) {
        keep(state, planned);
        return;
    }
    if (const auto found = find_costliest(state, planned, giving_way::deferred);
        found != state.m_kept.end()) {
        const auto deferred = *found;
        state.m_kept.erase(found);
        state.m_kept.push_back(planned);
        state.m_kept.push_back(deferred);
        state.m_kept_work += work.m_run;
        return;
    }
    const auto victim = find_costliest(state, planned, giving_way::refused);
    if (victim == state.m_kept.end()) {
        shed(state, planned, shed_cause::late);
        return;
    }
    shed_kept(state, victim, shed_cause::displaced);
    keep(state, planned);
}

/// Refuses attempts until the queue is no longer than its limit: of the least urgent priority, and
/// there of the organisation that uses the most, the one with the most work.
void shorten(plan_state& state)
{
    while (state.m_kept.size() > state.m_load.m_max_queued) {
        const auto victim = std::max_element(
            state.m_kept.begin(), state.m_kept.end(), [&state](const auto& a, const auto& b) {
                const auto rank = [&state](const planned_work& planned) {
                    return std::tuple{work_of(state, planned).m_priority,
                                      state.m_flows[planned.m_flow].m_claim,
                                      work_of(state, planned).m_run, planned.m_index};
                };
                return rank(a) < rank(b);
            });
        shed_kept(state, victim, shed_cause::queue_full);
    }
}

} // namespace

std::string_view to_string(shed_cause cause)
{
    return cause_names.at(static_cast<std::size_t>(cause));
}

shedding_plan make_plan(std::span<const queued_work> queued, const upstream_load& load)
{
    assert(load.m_mean_run > duration{});
    plan_state state{queued, load, {}, {}, {}, {}, {}};
    const auto sorted = sort_by_turn(state);
    state.m_kept.reserve(sorted.size());
    for (const auto& planned : sorted) {
        place(state, planned);
    }
    shorten(state);
    shedding_plan plan;
    plan.m_run_order.reserve(state.m_kept.size());
    for (const auto& planned : state.m_kept) {
        plan.m_run_order.push_back(planned.m_index);
    }
    plan.m_shed = std::move(state.m_shed);
    return plan;
}

newcomer_decision decide_newcomer(std::span<const queued_work> queued, const queued_work& newcomer,
                                  const upstream_load& load)
{
    std::vector<queued_work> all(queued.begin(), queued.end());
    all.push_back(newcomer);
    auto& margin = all.back().m_margin;
    margin = newcomer.m_run / 2;
    if (load.m_running >= load.m_concurrency) {
        margin += load.m_mean_run / std::max(1U, load.m_concurrency);
    }
    auto plan = make_plan(all, load);
    newcomer_decision decision;
    const auto own =
        std::find_if(plan.m_shed.begin(), plan.m_shed.end(),
                     [&queued](const shed_work& shed) { return shed.m_index == queued.size(); });
    if (own == plan.m_shed.end()) {
        decision.m_shed = std::move(plan.m_shed);
    }
    else {
        decision.m_refused = own->m_cause;
    }
    return decision;
}

} // namespace chivevane::load_shedding
