#include "libpolicy/placement/placement.h"

#include <algorithm>

namespace chivevane::placement {

namespace {

/// Gates without room that a request asks before it waits at one.
constexpr std::size_t refusals_before_waiting = 5;

/// Of these in other data centres: what passes between data centres is dear.
constexpr std::ptrdiff_t far_refusals_before_waiting = 2;

/// Load for each slot that waiting far counts more than waiting near.
constexpr double far_penalty = 0.25;

bool is_unreachable(const option& each, instant now)
{
    return now < each.m_record.m_unreachable_until;
}

bool is_failing(const option& each, instant now)
{
    return now < each.m_record.m_failing_until;
}

bool is_busy(const option& each, instant now)
{
    return now < each.m_record.m_busy_until;
}

/// Whether its gate would most likely refuse to let the attempt wait.
bool is_full(const option& each, const situation& about)
{
    return about.m_now < each.m_record.m_full_until &&
           about.m_priority >= each.m_record.m_full_priority;
}

double slots_of(std::span<const option> options, const std::vector<std::size_t>& chosen)
{
    double sum = 0;
    for (const auto index : chosen) {
        sum += options[index].m_slots;
    }
    return sum;
}

/// Picks one with a probability in proportion to its slots.
std::size_t pick(std::span<const option> options, const std::vector<std::size_t>& group,
                 random_engine& engine)
{
    auto place = uniform_fraction(engine) * slots_of(options, group);
    for (const auto index : group) {
        place -= options[index].m_slots;
        if (place < 0) {
            return index;
        }
    }
    return group.back();
}

template <typename Condition>
std::vector<std::size_t> filter(std::span<const option> options,
                                const std::vector<std::size_t>& group, Condition condition)
{
    std::vector<std::size_t> kept;
    std::copy_if(group.begin(), group.end(), std::back_inserter(kept),
                 [&](std::size_t index) { return condition(options[index]); });
    return kept;
}

/// Those that can be reached and have not run the request; all that can be reached otherwise.
std::vector<std::size_t> reachable(std::span<const option> options, instant now)
{
    std::vector<std::size_t> all;
    for (std::size_t index = 0; index < options.size(); ++index) {
        all.push_back(index);
    }
    const auto fresh = filter(options, all, [](const option& each) { return !each.m_has_run_it; });
    const auto& eligible = fresh.empty() ? all : fresh;
    auto found =
        filter(options, eligible, [now](const option& each) { return !is_unreachable(each, now); });
    return found.empty() ? eligible : found;
}

/// The one with the least load among those where the attempt may wait.
std::size_t least_loaded(std::span<const option> options, const std::vector<std::size_t>& group)
{
    return *std::min_element(
        group.begin(), group.end(), [&options](std::size_t left, std::size_t right) {
            const auto rank = [&options](std::size_t index) {
                const auto& each = options[index];
                return each.m_record.m_load + (each.m_is_near ? 0 : far_penalty);
            };
            return rank(left) < rank(right);
        });
}

} // namespace

std::optional<decision> decide(std::span<const option> options, const situation& about,
                               random_engine& engine)
{
    const auto now = about.m_now;
    const auto open = reachable(options, now);
    const auto sound =
        filter(options, open, [now](const option& each) { return !is_failing(each, now); });
    const auto near = filter(options, sound, [](const option& each) { return each.m_is_near; });
    const bool stays_near = about.m_is_large && !near.empty();
    if (about.m_refusals < refusals_before_waiting) {
        const auto idle = filter(options, sound, [now](const option& each) {
            return !each.m_was_tried && !is_busy(each, now);
        });
        const auto far_refusals =
            std::count_if(options.begin(), options.end(),
                          [](const option& each) { return each.m_was_tried && !each.m_is_near; });
        const bool may_go_far = !stays_near && far_refusals < far_refusals_before_waiting;
        for (const bool is_near : {true, false}) {
            const auto group = filter(
                options, idle, [is_near](const option& each) { return each.m_is_near == is_near; });
            if (!group.empty() && (is_near || may_go_far)) {
                return decision{pick(options, group, engine), link_waiting::forbidden};
            }
        }
    }
    const auto may_wait = [&about](const option& each) {
        return !each.m_has_waited && !is_full(each, about);
    };
    for (const auto& group : {stays_near ? near : sound, sound}) {
        if (const auto hopeful = filter(options, group, may_wait); !hopeful.empty()) {
            return decision{least_loaded(options, hopeful), link_waiting::allowed};
        }
    }
    const auto failing = filter(options, open, [now](const option& each) {
        return is_failing(each, now) && !each.m_has_been_insisted;
    });
    if (failing.empty()) {
        return std::nullopt;
    }
    return decision{pick(options, failing, engine), link_waiting::forbidden,
                    link_insistence::runs_on_failing};
}

} // namespace chivevane::placement
