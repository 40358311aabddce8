#include "libpolicy/health/evidence_window.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chivevane::health {

namespace {

constexpr double first_bound_us = 500;
constexpr duration window_length = 250ms; // Half a report: the newest report outweighs older ones.
constexpr duration longest_memory = 10min;
constexpr double lasting_requests = 25; // Enough to tell a sick upstream from its peers.

double good_answers(const evidence_window& window)
{
    return std::accumulate(window.m_latencies.begin(), window.m_latencies.end(), 0.0);
}

} // namespace

std::size_t bucket_of(duration latency)
{
    if (static_cast<double>(latency.count()) <= first_bound_us) {
        return 0;
    }
    const auto octaves = std::log2(static_cast<double>(latency.count()) / first_bound_us);
    return std::min(latency_bucket_count - 1, static_cast<std::size_t>(std::ceil(octaves * 2)));
}

duration upper_bound_of(std::size_t bucket)
{
    return from_seconds(first_bound_us * std::exp2(static_cast<double>(bucket) / 2) / 1e6);
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

std::uint32_t requests_of(const evidence_delta& delta)
{
    return std::accumulate(delta.m_latencies.begin(), delta.m_latencies.end(), delta.m_failures);
}

void decay(evidence_window& window, instant now)
{
    const auto age = to_seconds(now - window.m_decayed_at);
    window.m_decayed_at = now;
    const auto requests = requests_of(window);
    if (requests <= 0) {
        return;
    }
    const auto lasting = std::min(1.0, lasting_requests / requests);
    const auto factor = std::max(lasting, std::exp(-age / to_seconds(window_length))) *
                        std::exp(-age / to_seconds(longest_memory));
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

double requests_of(const evidence_window& window)
{
    return good_answers(window) + window.m_failures;
}

std::size_t quantile_bucket(const evidence_window& window, double quantile)
{
    const auto wanted = good_answers(window) * quantile;
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
