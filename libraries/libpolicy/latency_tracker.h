#pragma once

#include "libbase/instant.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chivevane {

/// The mean latency and size of one route's answers.
struct route_statistics {
    double m_mean_latency_s = 0;
    std::uint32_t m_latency_samples = 0;
    double m_mean_bytes = 0;
    std::uint32_t m_size_samples = 0;
};

/// The latency and size of the answers that one host has seen. Its memory is bounded by the number
/// of routes.
struct latency_tracker {
    std::map<std::string, route_statistics, std::less<>> m_routes; ///< Keyed by route name.
};

/// Records the latency of a successful answer.
void record_latency(latency_tracker& tracker, std::string_view route, duration latency);

/// Returns the mean latency of the route's answers; zero while unknown.
duration mean_latency(const latency_tracker& tracker, std::string_view route);

/// Records the size of a complete body.
void record_size(latency_tracker& tracker, std::string_view route, std::uint64_t bytes);

/// Returns the mean size of the route's answers in bytes; 0 while unknown.
double mean_size(const latency_tracker& tracker, std::string_view route);

/// Returns the time without an answer after which an attempt has probably failed. Returns nothing
/// if too few answers were seen, or if the time is not shorter than `bound`.
std::optional<duration> silence_threshold(const latency_tracker& tracker, std::string_view route,
                                          duration bound);

} // namespace chivevane
