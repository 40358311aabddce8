#pragma once

#include "libbase/instant.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chivevane {

/// The ordinary latency and size of one route's answers.
struct tracked_latency {
    double m_mean_s = 0;
    std::uint32_t m_answers = 0;
    double m_mean_bytes = 0;
    std::uint32_t m_bodies = 0;
};

/// What one host has learned of how long answers take, by route. Bounded by the routes.
struct latency_tracker {
    std::map<std::string, tracked_latency, std::less<>> m_routes;
};

/// Adds the latency of a good answer.
void note_latency(latency_tracker& tracker, std::string_view route, duration latency);

/// Mean latency of the route's answers; zero while unknown.
duration mean_latency(const latency_tracker& tracker, std::string_view route);

/// Adds the size of a whole body.
void note_size(latency_tracker& tracker, std::string_view route, std::uint64_t bytes);

/// Mean size of the route's answers in bytes; 0 while unknown.
double mean_size(const latency_tracker& tracker, std::string_view route);

/// How long an attempt may go without an answer before something is likely to be wrong. Empty while
/// too little is known, or when `bound` is sooner.
std::optional<duration> suspicious_silence(const latency_tracker& tracker, std::string_view route,
                                           duration bound);

} // namespace chivevane
