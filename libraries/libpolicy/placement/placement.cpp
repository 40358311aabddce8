#include "libpolicy/placement/placement.h"

#include <algorithm>

namespace chivevane::placement {

namespace {

/// Number of refusals after which a request is queued in any case.
constexpr std::size_t refusals_before_queueing = 5;

/// Number of options in other data centres that are tried before the request is queued. It is lower
/// as traffic between data centres is expensive.
constexpr std::ptrdiff_t other_datacentre_tries = 2;

/// Number of options in the own data centre that are tried before those in others. Where the own
/// one has many, they would otherwise use up all tries.
constexpr std::ptrdiff_t own_datacentre_tries = 3;

/// Added to the load for each slot of upstreams in other data centres when queues are compared.
constexpr double other_datacentre_load_penalty = 0.25;

/// How long a reported load is used. It covers the refusals of one request. The lowest of many
/// older loads is most likely out of date.
constexpr duration load_lifetime = 100ms;

/// How long an upstream whose circuit was open comes after others. Most failures last longer than
/// a circuit stays open at first.
constexpr duration recent_failure_period = 2s;

/// Gates that refuse to queue a request before the service counts as full. The gates that are asked
/// have the shortest queues known.
constexpr std::ptrdiff_t max_queue_refusals = 3;

bool is_unreachable(const option& each, instant now)
{
    return now < each.m_record.m_unreachable_until;
}

bool is_circuit_open(const option& each, instant now)
{
    return now < each.m_record.m_circuit_open_until;
}

bool is_busy(const option& each, instant now)
{
    return now < each.m_record.m_busy_until;
}

/// Whether the gate of this option would most likely refuse to queue the attempt.
bool is_full(const option& each, const decision_input& input)
{
    return input.m_now < each.m_record.m_full_until &&
           input.m_priority >= each.m_record.m_full_priority;
}

double slots_of(std::span<const option> options, const std::vector<std::size_t>& chosen)
{
    double sum = 0;
    for (const auto index : chosen) {
        sum += options[index].m_slots;
    }
    return sum;
}

/// Picks an option of the group with a probability in proportion to its slots.
std::size_t pick_weighted(std::span<const option> options, const std::vector<std::size_t>& group,
                          random_engine& engine)
{
    auto remaining_slots = uniform_fraction(engine) * slots_of(options, group);
    for (const auto index : group) {
        remaining_slots -= options[index].m_slots;
        if (remaining_slots < 0) {
            return index;
        }
    }
    return group.back();
}

template <typename Condition>
std::vector<std::size_t> filter_options(std::span<const option> options,
                                        const std::vector<std::size_t>& group, Condition condition)
{
    std::vector<std::size_t> kept;
    std::copy_if(group.begin(), group.end(), std::back_inserter(kept),
                 [&](std::size_t index) { return condition(options[index]); });
    return kept;
}

/// Returns the options that have not run the request, or all options if each may have run it, and
/// leaves out those that are unreachable unless all of them are.
std::vector<std::size_t> eligible_options(std::span<const option> options, instant now)
{
    std::vector<std::size_t> all;
    for (std::size_t index = 0; index < options.size(); ++index) {
        all.push_back(index);
    }
    const auto not_run = filter_options(
        options, all, [](const option& each) { return !each.m_may_have_run_request; });
    const auto& eligible = not_run.empty() ? all : not_run;
    auto found = filter_options(options, eligible,
                                [now](const option& each) { return !is_unreachable(each, now); });
    return found.empty() ? eligible : found;
}

/// Returns the options of the group whose circuit has not been seen open recently, or the group if
/// there are none.
std::vector<std::size_t> prefer_healthy(std::span<const option> options,
                                        const std::vector<std::size_t>& group, instant now)
{
    auto healthy = filter_options(options, group, [now](const option& each) {
        const auto seen_open_at = each.m_record.m_circuit_seen_open_at;
        return seen_open_at == instant::min() || now - seen_open_at >= recent_failure_period;
    });
    return healthy.empty() ? group : healthy;
}

/// Returns the number of options in the own data centre, or in others, that were tried.
std::ptrdiff_t count_tried(std::span<const option> options, bool is_in_own_datacentre)
{
    return std::count_if(options.begin(), options.end(), [&](const option& each) {
        return each.m_was_tried && each.m_is_in_own_datacentre == is_in_own_datacentre;
    });
}

/// Whether the gate of this option reported its load a moment ago.
bool is_load_known(const option& each, instant now)
{
    const auto updated_at = each.m_record.m_load_updated_at;
    return updated_at != instant::min() && now - updated_at < load_lifetime;
}

/// The load by which queues are compared: running and queued attempts for each slot.
double comparable_load(const option& each)
{
    return each.m_record.m_load + (each.m_is_in_own_datacentre ? 0 : other_datacentre_load_penalty);
}

/// Returns the options of the group with the least load, of those whose load is known, or the group
/// if none is. Among equal ones the choice is random: a fixed order would send the attempts of all
/// ingresses to the same gate.
std::vector<std::size_t> least_loaded(std::span<const option> options,
                                      const std::vector<std::size_t>& group, instant now)
{
    const auto known = filter_options(
        options, group, [now](const option& each) { return is_load_known(each, now); });
    if (known.empty()) {
        return group;
    }
    const auto least = *std::min_element(
        known.begin(), known.end(), [&options](std::size_t left, std::size_t right) {
            return comparable_load(options[left]) < comparable_load(options[right]);
        });
    return filter_options(options, known, [&](const option& each) {
        return comparable_load(each) <= comparable_load(options[least]);
    });
}

/// The options that a decision chooses among, as indices.
struct option_groups {
    std::vector<std::size_t> m_own;     ///< With a closed circuit, in the own data centre.
    std::vector<std::size_t> m_other;   ///< With a closed circuit, in others.
    std::vector<std::size_t> m_failing; ///< With an open circuit, in any data centre.
};

option_groups group_options(std::span<const option> options, instant now)
{
    const auto candidates = eligible_options(options, now);
    const auto is_closed = [now](const option& each) { return !is_circuit_open(each, now); };
    return {
        filter_options(
            options, candidates,
            [&](const option& each) { return is_closed(each) && each.m_is_in_own_datacentre; }),
        filter_options(
            options, candidates,
            [&](const option& each) { return is_closed(each) && !each.m_is_in_own_datacentre; }),
        filter_options(options, candidates, [&](const option& each) { return !is_closed(each); })};
}

/// Finds the options of the group that may start the attempt at once and were not tried yet.
std::optional<choice> try_idle(std::span<const option> options,
                               const std::vector<std::size_t>& group, const decision_input& input)
{
    const auto untried = filter_options(options, group, [&input](const option& each) {
        return !each.m_was_tried && !is_busy(each, input.m_now);
    });
    if (untried.empty()) {
        return std::nullopt;
    }
    return choice{prefer_healthy(options, untried, input.m_now), queueing_permission::forbidden};
}

/// Finds the options of the group with the shortest queue that may still queue the attempt.
std::optional<choice> try_queue(std::span<const option> options,
                                const std::vector<std::size_t>& group, const decision_input& input)
{
    const auto queue_refusals = std::count_if(group.begin(), group.end(), [&](auto index) {
        return options[index].m_was_offered_queueing;
    });
    if (queue_refusals >= max_queue_refusals) {
        return std::nullopt;
    }
    const auto with_room = filter_options(options, group, [&input](const option& each) {
        return !each.m_was_offered_queueing && !is_full(each, input);
    });
    if (with_room.empty()) {
        return std::nullopt;
    }
    const auto preferred = prefer_healthy(options, with_room, input.m_now);
    return choice{least_loaded(options, preferred, input.m_now), queueing_permission::allowed};
}

/// Returns the options of the group that reported a free slot a moment ago. Gates keep the last
/// slots for attempts that are allowed to queue.
std::vector<std::size_t> with_free_slot(std::span<const option> options,
                                        const std::vector<std::size_t>& group, instant now)
{
    return filter_options(options, group, [now](const option& each) {
        return is_load_known(each, now) && each.m_record.m_load < 1;
    });
}

/// How many gates refused, by how they were asked.
struct refusal_counts {
    std::ptrdiff_t m_idle_own = 0;
    std::ptrdiff_t m_idle_other = 0;
    std::ptrdiff_t m_queue = 0;
};

/// Returns the number of refusals of one request, which is asked at some gates of each kind only.
std::size_t total_of(const refusal_counts& counts)
{
    return static_cast<std::size_t>(std::min(counts.m_idle_own, own_datacentre_tries) +
                                    std::min(counts.m_idle_other, other_datacentre_tries) +
                                    std::min(counts.m_queue, max_queue_refusals));
}

/// Marks an option of `step` as refused by its gate.
void refuse(option& each, const choice& step, refusal_counts& counts)
{
    each.m_was_tried = true;
    if (step.m_circuit_breaker_mode == circuit_breaker_mode::bypass) {
        each.m_was_offered_bypass = true;
    }
    else if (step.m_queueing == queueing_permission::allowed) {
        each.m_was_offered_queueing = true;
        ++counts.m_queue;
    }
    else {
        ++(each.m_is_in_own_datacentre ? counts.m_idle_own : counts.m_idle_other);
    }
}

} // namespace

std::optional<choice> find_choice(std::span<const option> options, const decision_input& input)
{
    const auto groups = group_options(options, input.m_now);
    const auto own_tries = count_tried(options, true);
    const auto other_tries = count_tried(options, false);
    const bool may_try_idle = input.m_refusals < refusals_before_queueing;
    if (may_try_idle && own_tries < own_datacentre_tries) {
        if (auto chosen = try_idle(options, groups.m_own, input)) {
            return chosen;
        }
    }
    const auto free_in_own = with_free_slot(options, groups.m_own, input.m_now);
    if (auto chosen = try_queue(options, free_in_own, input)) {
        return chosen;
    }
    const bool stays_in_own_datacentre = input.m_is_large && !groups.m_own.empty();
    if (may_try_idle && !stays_in_own_datacentre && other_tries < other_datacentre_tries) {
        if (auto chosen = try_idle(options, groups.m_other, input)) {
            return chosen;
        }
    }
    auto queues = groups.m_other;
    if (stays_in_own_datacentre) {
        if (auto chosen = try_queue(options, groups.m_own, input)) {
            return chosen;
        }
    }
    else {
        queues.insert(queues.end(), groups.m_own.begin(), groups.m_own.end());
    }
    if (auto chosen = try_queue(options, queues, input)) {
        return chosen;
    }
    const auto failing = filter_options(
        options, groups.m_failing, [](const option& each) { return !each.m_was_offered_bypass; });
    if (failing.empty()) {
        return std::nullopt;
    }
    return choice{failing, queueing_permission::forbidden, circuit_breaker_mode::bypass};
}

std::optional<decision> decide(std::span<const option> options, const decision_input& input,
                               random_engine& engine)
{
    const auto found = find_choice(options, input);
    if (!found) {
        return std::nullopt;
    }
    return decision{pick_weighted(options, found->m_options, engine), found->m_queueing,
                    found->m_circuit_breaker_mode};
}

std::vector<choice> asking_order(std::span<const option> options, decision_input input)
{
    std::vector<option> asked{options.begin(), options.end()};
    const auto refusals_before = input.m_refusals;
    refusal_counts counts;
    std::vector<choice> steps;
    for (auto step = find_choice(asked, input); step; step = find_choice(asked, input)) {
        for (const auto index : step->m_options) {
            refuse(asked[index], *step, counts);
        }
        input.m_refusals = refusals_before + total_of(counts);
        steps.push_back(std::move(*step));
    }
    return steps;
}

} // namespace chivevane::placement
