#include "libpolicy/placement/placement.h"

#include <algorithm>

namespace chivevane::placement {

namespace {

/// Number of refusals after which a request is queued at a gate.
constexpr std::size_t refusals_before_queueing = 5;

/// Number of options in other data centres that are tried before the request is queued. It is lower
/// as traffic between data centres is expensive.
constexpr std::ptrdiff_t other_datacentre_refusals_before_queueing = 2;

/// Added to the load for each slot of upstreams in other data centres when queues are compared.
constexpr double other_datacentre_load_penalty = 0.25;

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

/// Returns the option of the group with the least load for each slot.
std::size_t least_loaded(std::span<const option> options, const std::vector<std::size_t>& group)
{
    return *std::min_element(
        group.begin(), group.end(), [&options](std::size_t left, std::size_t right) {
            const auto comparable_load = [&options](std::size_t index) {
                const auto& each = options[index];
                return each.m_record.m_load +
                       (each.m_is_in_own_datacentre ? 0 : other_datacentre_load_penalty);
            };
            return comparable_load(left) < comparable_load(right);
        });
}

} // namespace

std::optional<decision> decide(std::span<const option> options, const decision_input& input,
                               random_engine& engine)
{
    const auto now = input.m_now;
    const auto candidates = eligible_options(options, now);
    const auto with_closed_circuit = filter_options(
        options, candidates, [now](const option& each) { return !is_circuit_open(each, now); });
    const auto in_own_datacentre =
        filter_options(options, with_closed_circuit,
                       [](const option& each) { return each.m_is_in_own_datacentre; });
    const bool stays_in_own_datacentre = input.m_is_large && !in_own_datacentre.empty();
    if (input.m_refusals < refusals_before_queueing) {
        const auto not_busy =
            filter_options(options, with_closed_circuit, [now](const option& each) {
                return !each.m_was_tried && !is_busy(each, now);
            });
        const auto other_datacentre_refusals =
            std::count_if(options.begin(), options.end(), [](const option& each) {
                return each.m_was_tried && !each.m_is_in_own_datacentre;
            });
        const bool may_use_other_datacentre =
            !stays_in_own_datacentre &&
            other_datacentre_refusals < other_datacentre_refusals_before_queueing;
        for (const bool is_in_own_datacentre : {true, false}) {
            const auto group =
                filter_options(options, not_busy, [is_in_own_datacentre](const option& each) {
                    return each.m_is_in_own_datacentre == is_in_own_datacentre;
                });
            if (!group.empty() && (is_in_own_datacentre || may_use_other_datacentre)) {
                return decision{pick_weighted(options, group, engine),
                                queueing_permission::forbidden};
            }
        }
    }
    const auto may_be_queued = [&input](const option& each) {
        return !each.m_was_offered_queueing && !is_full(each, input);
    };
    for (const auto& group :
         {stays_in_own_datacentre ? in_own_datacentre : with_closed_circuit, with_closed_circuit}) {
        if (const auto with_queue_room = filter_options(options, group, may_be_queued);
            !with_queue_room.empty()) {
            return decision{least_loaded(options, with_queue_room), queueing_permission::allowed};
        }
    }
    const auto with_open_circuit = filter_options(options, candidates, [now](const option& each) {
        return is_circuit_open(each, now) && !each.m_was_offered_bypass;
    });
    if (with_open_circuit.empty()) {
        return std::nullopt;
    }
    return decision{pick_weighted(options, with_open_circuit, engine),
                    queueing_permission::forbidden, circuit_breaker_mode::bypass};
}

} // namespace chivevane::placement
