#include "platform/soak_schedule.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace chivevane::platform::test {

namespace {

constexpr duration soak_length = 90s;
constexpr duration copy_interval = 100ms;

/// A schedule while it is drawn.
struct schedule {
    random_engine m_random;
    std::vector<soak_event> m_events;
};

std::uint64_t draw(schedule& plan, std::uint64_t low, std::uint64_t high)
{
    return low + plan.m_random() % (high - low + 1);
}

duration draw_time(schedule& plan, duration low, duration high)
{
    return low + from_seconds(to_seconds(high - low) * uniform_fraction(plan.m_random));
}

/// Adds a write, which does not happen if the store is away then.
void add_write(schedule& plan, duration at, std::string label,
               std::function<void(operator_fleet&)> write)
{
    plan.m_events.push_back({at, std::move(label), [write = std::move(write)](soak& run) {
                                 if (!run.m_fleet.m_store.is_away()) {
                                     write(run.m_fleet);
                                 }
                             }});
}

void add_change(schedule& plan, duration at)
{
    add_write(plan, at, "change", &operator_fleet::change_configuration);
}

void add_other_writes(schedule& plan, duration at)
{
    const auto count = draw(plan, 1, 60);
    add_write(plan, at, "write other keys " + std::to_string(count),
              [count](operator_fleet& fleet) { fleet.m_store.write_other_keys(count); });
}

/// Adds the start or the end of an evacuation.
void add_evacuation(schedule& plan, duration at)
{
    const auto name = "dc-" + std::to_string(draw(plan, 0, 1));
    add_write(plan, at, "toggle " + name, [name](operator_fleet& fleet) {
        const auto& wanted = fleet.m_evacuated;
        const bool is_out = std::find(wanted.begin(), wanted.end(), name) != wanted.end();
        is_out ? fleet.end_evacuation(name) : fleet.evacuate(name);
    });
}

/// Adds a return of the store: with changes just before and after it, or without, and with the
/// operator's rewriting at once, late, in part, or never.
void add_return(schedule& plan, duration at)
{
    const auto back_at = at + draw_time(plan, 50ms, 3s);
    const auto age = draw(plan, 1, draw(plan, 0, 1) == 0 ? 20 : 200); // Copies.
    plan.m_events.push_back({at, "go away", [](soak& run) { run.m_fleet.m_store.go_away(); }});
    plan.m_events.push_back(
        {back_at, fmt::format("come back, {} copies older", age), [age](soak& run) {
             const auto& copies = run.m_copies;
             run.m_fleet.m_store.go_away();
             run.m_fleet.m_store.come_back_from(
                 copies[copies.size() - std::min(age, copies.size())]);
         }});
    const auto choices = draw(plan, 0, 63);
    if (choices % 2 != 0) {
        add_change(plan, at - draw_time(plan, 0s, 50ms));
    }
    if (choices / 2 % 2 != 0) {
        add_other_writes(plan, back_at);
    }
    if (choices / 4 % 2 != 0) {
        add_change(plan, back_at + draw_time(plan, 0s, 50ms));
    }
    if (choices / 8 % 4 != 0) {
        const auto early = draw_time(plan, 0s, choices / 8 % 4 == 1 ? 0s : 5s);
        const auto late = draw_time(plan, early, choices / 8 % 4 == 2 ? early : 5s);
        const bool is_configuration_first = choices / 32 == 0;
        add_write(plan, back_at + (is_configuration_first ? early : late), "rewrite configuration",
                  &operator_fleet::rewrite_configuration);
        add_write(plan, back_at + (is_configuration_first ? late : early), "rewrite evacuations",
                  &operator_fleet::rewrite_evacuations);
    }
}

/// Adds something that lasts for some seconds.
void add_episode(schedule& plan, duration at, const std::string& label,
                 std::function<void(soak&)> start, std::function<void(soak&)> end)
{
    plan.m_events.push_back({at, label, std::move(start)});
    plan.m_events.push_back({at + draw_time(plan, 200ms, 8s), label + ": end", std::move(end)});
}

/// Adds a cut of about half of the hosts from the store, or from the other hosts.
void add_cut(schedule& plan, duration at)
{
    const auto chosen = (std::uint64_t{plan.m_random()} << 32U) | plan.m_random();
    const auto is_chosen = [chosen](std::size_t host) { return (chosen >> host) % 2 != 0; };
    const auto is_between = [is_chosen](std::size_t from, std::size_t to) {
        return is_chosen(from) != is_chosen(to);
    };
    if (draw(plan, 0, 1) == 0) {
        add_episode(
            plan, at, fmt::format("cut {:x} from the store", chosen),
            [=](soak& run) { run.m_fleet.m_hosts.m_is_partitioned_from_store = is_chosen; },
            [](soak& run) { run.m_fleet.m_hosts.m_is_partitioned_from_store = nullptr; });
        return;
    }
    add_episode(
        plan, at, fmt::format("cut {:x} from the others", chosen),
        [=](soak& run) { run.m_fleet.m_hosts.m_drops_messages = is_between; },
        [](soak& run) { run.m_fleet.m_hosts.m_drops_messages = nullptr; });
}

/// Adds one trouble of any kind that begins at `at`.
void add_trouble(schedule& plan, duration at)
{
    const auto kind = draw(plan, 0, 9);
    const auto number = draw(plan, 5, 50);
    if (kind < 3) {
        add_return(plan, at);
    }
    if (kind == 2) {
        add_return(plan, at + draw_time(plan, 1s, 5s));
    }
    if (kind == 3) {
        add_episode(
            plan, at, "outage", [](soak& run) { run.m_fleet.m_store.go_away(); },
            [](soak& run) { run.m_fleet.m_store.come_back(); });
    }
    if (kind == 4 || kind == 5) {
        add_cut(plan, at);
    }
    if (kind == 6) {
        add_episode(
            plan, at, fmt::format("lose {}%", number),
            [number](soak& run) {
                run.m_fleet.m_hosts.m_loss = 0.01 * static_cast<double>(number);
            },
            [](soak& run) { run.m_fleet.m_hosts.m_loss = 0; });
    }
    for (auto count = kind == 7 ? number / 4 : 0; count > 0; --count) {
        const auto host = draw(plan, 0, 39);
        plan.m_events.push_back(
            {at + draw_time(plan, 0s, 3s), fmt::format("restart {}", host), [host](soak& run) {
                 run.m_fleet.restart(host % run.m_fleet.m_hosts.m_hosts.size());
             }});
    }
    if (kind == 8) {
        add_other_writes(plan, at);
    }
    if (kind == 9) {
        add_evacuation(plan, at);
    }
}

} // namespace

std::vector<soak_event> draw_schedule(std::uint64_t seed)
{
    schedule plan{random_engine{seed}, {}};
    for (auto at = 1s + duration{}; at < soak_length; at += draw_time(plan, 300ms, 5s)) {
        add_change(plan, at);
    }
    for (auto at = 1s + duration{}; at < soak_length; at += draw_time(plan, 100ms, 5s)) {
        add_trouble(plan, at);
    }
    std::stable_sort(plan.m_events.begin(), plan.m_events.end(),
                     [](const auto& left, const auto& right) { return left.m_at < right.m_at; });
    return plan.m_events;
}

void play(soak& run, std::span<const soak_event> events)
{
    auto& hosts = run.m_fleet.m_hosts;
    const auto start = hosts.m_now;
    auto copied_at = start - copy_interval;
    for (const auto& event : events) {
        while (hosts.m_now < start + event.m_at || run.m_copies.empty()) {
            if (hosts.m_now >= copied_at + copy_interval) {
                run.m_copies.push_back(run.m_fleet.m_store.current());
                copied_at = hosts.m_now;
            }
            hosts.run_for(std::min(copied_at + copy_interval, start + event.m_at) - hosts.m_now);
        }
        event.m_action(run);
    }
    run.m_fleet.m_store.come_back();
    hosts.m_is_partitioned_from_store = nullptr;
    hosts.m_drops_messages = nullptr;
    hosts.m_loss = 0;
}

} // namespace chivevane::platform::test
