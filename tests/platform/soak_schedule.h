#pragma once

#include "platform/operator_fleet.h"

#include <functional>
#include <span>
#include <string>
#include <vector>

/// Random troubles of the store and of the hosts.
namespace chivevane::platform::test {

/// A fleet with copies of its store that were made every 100 ms.
struct soak {
    operator_fleet m_fleet;
    std::vector<operator_store::content> m_copies;
};

/// One thing that happens to the store, the hosts or the operator's wishes.
struct soak_event {
    duration m_at; ///< Since the start of the schedule.
    std::string m_label;
    std::function<void(soak&)> m_action;
};

/// Returns overlapping troubles and changes in the order of their times. The same seed gives the
/// same ones.
std::vector<soak_event> draw_schedule(std::uint64_t seed);

/// Plays a schedule, makes copies of the store meanwhile, and ends all troubles.
void play(soak& run, std::span<const soak_event> events);

} // namespace chivevane::platform::test
