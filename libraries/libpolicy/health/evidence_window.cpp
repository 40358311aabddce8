#include "libpolicy/health/evidence_window.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chivevane::health {

namespace {

constexpr double first_bucket_bound_us = 500;
// Half of the report interval, so that the newest report outweighs older ones.
constexpr duration decay_time_constant = 250ms;
// The answers that the minimum retains decay with this time constant.
constexpr duration retention_time_constant = 10min;
// This many answers suffice to distinguish an unhealthy upstream from its peers.
constexpr double min_retained_requests = 25;

double good_answer_count(const evidence_window& window)
{
    return std::accumulate(window.m_latencies.begin(), window.m_latencies.end(), 0.0);
}

} // namespace

std::size_t bucket_of(duration latency)
{
    if (static_cast<double>(latency.count()) <= first_bucket_bound_us) {
        return 0;
    }
    const auto octaves = std::log2(static_cast<double>(latency.count()) / first_bucket_bound_us);
    return std::min(latency_bucket_count - 1, static_cast<std::size_t>(std::ceil(octaves * 2)));
}

duration upper_bound_of(std::size_t bucket)
{
    return from_seconds(first_bucket_bound_us * std::exp2(static_cast<double>(bucket) / 2) / 1e6);
}

evidence_delta difference(const evidence_counters& later, const evidence_counters& earlier)
{
    evidence_delta delta;
    delta.m_failures = static_cast<std::uint16_t>(later.m_failures - earlier.m_failures);
    for (std::size_t bucket = 0; bucket < latency_bucket_count; ++bucket) {
        delta.m_latencies[bucket] =
            static_cast<std::uint16_t>(later.m_latencies[bucket] - earlier.m_latencies[bucket]);
    }
    return delta;
}

void accumulate(evidence_delta& sum, const evidence_delta& more)
{
    sum.m_failures += more.m_failures;
    for (std::size_t bucket = 0; bucket < latency_bucket_count; ++bucket) {
        sum.m_latencies[bucket] += more.m_latencies[bucket];
    }
}

std::uint32_t request_count(const evidence_delta& delta)
{
    return std::accumulate(delta.m_latencies.begin(), delta.m_latencies.end(), delta.m_failures);
}

void decay(evidence_window& window, instant now)
{
    const auto age = to_seconds(now - window.m_decayed_at);
    window.m_decayed_at = now;
    const auto requests = request_count(window);
    if (requests <= 0) {
        return;
    }
    const auto min_factor = std::min(1.0, min_retained_requests / requests);
    const auto factor = std::max(min_factor, std::exp(-age / to_seconds(decay_time_constant))) *
                        std::exp(-age / to_seconds(retention_time_constant));
    window.m_failures *= factor;
    for (auto& count : window.m_latencies) {
        count *= factor;
    }
}

void add(evidence_window& window, const evidence_delta& delta)
{
    window.m_failures += delta.m_failures;
    for (std::size_t bucket = 0; bucket < latency_bucket_count; ++bucket) {
        window.m_latencies[bucket] += delta.m_latencies[bucket];
    }
}

double request_count(const evidence_window& window)
{
    return good_answer_count(window) + window.m_failures;
}

std::size_t quantile_bucket(const evidence_window& window, double quantile)
{
    const auto wanted = good_answer_count(window) * quantile;
    double seen = 0;
    for (std::size_t bucket = 0; bucket < latency_bucket_count; ++bucket) {
        seen += window.m_latencies[bucket];
        if (seen >= wanted) {
            return bucket;
        }
    }
    return latency_bucket_count - 1;
}

} // namespace chivevane::health
