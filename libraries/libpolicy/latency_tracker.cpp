#include "libpolicy/latency_tracker.h"

#include <algorithm>

namespace chivevane {

namespace {

constexpr std::uint32_t learning_answers = 5;
constexpr double latest_weight = 0.05; ///< About the last twenty answers.
constexpr double silence_multiple = 5; ///< Few answers take longer than that.
constexpr duration shortest_silence = 300ms;

} // namespace

void note_latency(latency_tracker& tracker, std::string_view route, duration latency)
{
    auto found = tracker.m_routes.find(route);
    if (found == tracker.m_routes.end()) {
        found = tracker.m_routes.emplace(route, tracked_latency{}).first;
    }
    auto& known = found->second;
    ++known.m_answers;
    const auto weight = std::max(latest_weight, 1.0 / known.m_answers);
    known.m_mean_s += weight * (to_seconds(latency) - known.m_mean_s);
}

std::optional<duration> suspicious_silence(const latency_tracker& tracker, std::string_view route,
                                           duration bound)
{
    const auto found = tracker.m_routes.find(route);
    if (found == tracker.m_routes.end() || found->second.m_answers < learning_answers) {
        return std::nullopt;
    }
    const auto limit = std::max(from_seconds(found->second.m_mean_s * silence_multiple),
                                duration{shortest_silence});
    return limit < bound ? std::optional{limit} : std::nullopt;
}

} // namespace chivevane
