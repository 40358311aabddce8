#include "libpolicy/latency_tracker.h"

#include <algorithm>

namespace chivevane {

namespace {

constexpr std::uint32_t learning_answers = 5;
constexpr double latest_weight = 0.05; ///< About the last twenty answers.
constexpr double silence_multiple = 5; ///< Few answers take longer than that.
constexpr duration shortest_silence = 300ms;

tracked_latency& touch(latency_tracker& tracker, std::string_view route)
{
    const auto found = tracker.m_routes.find(route);
    return found == tracker.m_routes.end()
               ? tracker.m_routes.emplace(route, tracked_latency{}).first->second
               : found->second;
}

} // namespace

void note_size(latency_tracker& tracker, std::string_view route, std::uint64_t bytes)
{
    auto& known = touch(tracker, route);
    ++known.m_bodies;
    const auto weight = std::max(latest_weight, 1.0 / known.m_bodies);
    known.m_mean_bytes += weight * (static_cast<double>(bytes) - known.m_mean_bytes);
}

double mean_size(const latency_tracker& tracker, std::string_view route)
{
    const auto found = tracker.m_routes.find(route);
    return found == tracker.m_routes.end() ? 0 : found->second.m_mean_bytes;
}

void note_latency(latency_tracker& tracker, std::string_view route, duration latency)
{
    auto& known = touch(tracker, route);
    ++known.m_answers;
    const auto weight = std::max(latest_weight, 1.0 / known.m_answers);
    known.m_mean_s += weight * (to_seconds(latency) - known.m_mean_s);
}

duration mean_latency(const latency_tracker& tracker, std::string_view route)
{
    const auto found = tracker.m_routes.find(route);
    return found == tracker.m_routes.end() ? duration{} : from_seconds(found->second.m_mean_s);
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
