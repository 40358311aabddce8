#include "libpolicy/latency_tracker.h"

#include <algorithm>

namespace chivevane {

namespace {

constexpr std::uint32_t min_samples = 5; ///< Answers needed before the mean latency is used.
constexpr double sample_weight = 0.05;   ///< The means cover about the last twenty answers.
constexpr double silence_factor = 5;     ///< Few answers take longer than this many mean latencies.
constexpr duration min_silence = 300ms;

/// Returns the statistics of `route`, which it adds if there are none.
route_statistics& find_or_add_route(latency_tracker& tracker, std::string_view route)
{
    const auto found = tracker.m_routes.find(route);
    return found == tracker.m_routes.end()
               ? tracker.m_routes.emplace(route, route_statistics{}).first->second
               : found->second;
}

} // namespace

void record_size(latency_tracker& tracker, std::string_view route, std::uint64_t bytes)
{
    auto& statistics = find_or_add_route(tracker, route);
    ++statistics.m_size_samples;
    const auto weight = std::max(sample_weight, 1.0 / statistics.m_size_samples);
    statistics.m_mean_bytes += weight * (static_cast<double>(bytes) - statistics.m_mean_bytes);
}

double mean_size(const latency_tracker& tracker, std::string_view route)
{
    const auto found = tracker.m_routes.find(route);
    return found == tracker.m_routes.end() ? 0 : found->second.m_mean_bytes;
}

void record_latency(latency_tracker& tracker, std::string_view route, duration latency)
{
    auto& statistics = find_or_add_route(tracker, route);
    ++statistics.m_latency_samples;
    const auto weight = std::max(sample_weight, 1.0 / statistics.m_latency_samples);
    statistics.m_mean_latency_s += weight * (to_seconds(latency) - statistics.m_mean_latency_s);
}

duration mean_latency(const latency_tracker& tracker, std::string_view route)
{
    const auto found = tracker.m_routes.find(route);
    return found == tracker.m_routes.end() ? duration{}
                                           : from_seconds(found->second.m_mean_latency_s);
}

std::optional<duration> silence_threshold(const latency_tracker& tracker, std::string_view route,
                                          duration bound)
{
    const auto found = tracker.m_routes.find(route);
    if (found == tracker.m_routes.end() || found->second.m_latency_samples < min_samples) {
        return std::nullopt;
    }
    const auto limit = std::max(from_seconds(found->second.m_mean_latency_s * silence_factor),
                                duration{min_silence});
    return limit < bound ? std::optional{limit} : std::nullopt;
}

} // namespace chivevane
