#pragma once

#include "libbase/instant.h"
#include "libwire/health_messages.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace chivevane::health {

/// The index of the bucket that counts answers of this latency.
std::size_t bucket_of(duration latency);

/// The upper latency bound of the bucket. The last bucket also counts all longer latencies.
duration upper_bound_of(std::size_t bucket);

/// Answers counted between two states of the same counters.
struct evidence_delta {
    std::uint32_t m_failures = 0;
    std::array<std::uint32_t, latency_bucket_count> m_latencies{}; ///< Good answers by bucket.
};

/// The answers that `later` counts and `earlier` does not; the 16-bit counters may have wrapped
/// around once.
evidence_delta difference(const evidence_counters& later, const evidence_counters& earlier);

void accumulate(evidence_delta& sum, const evidence_delta& more);

/// The number of answers in `delta`, failures included.
std::uint32_t request_count(const evidence_delta& delta);

/// Recent answers of one upstream on one route, with weights that decay over time. The last few
/// answers decay far more slowly, so that services with little traffic can be evaluated too.
struct evidence_window {
    double m_failures = 0;
    std::array<double, latency_bucket_count> m_latencies{}; ///< Good answers by bucket.
    instant m_decayed_at;
};

/// Reduces the weights of the answers by the time elapsed since the last decay.
void decay(evidence_window& window, instant now);

/// Adds answers with full weight; the caller must first decay `window` to the present.
void add(evidence_window& window, const evidence_delta& delta);

/// The weighted number of answers in the window, failures included.
double request_count(const evidence_window& window);

/// The index of the bucket that holds this quantile of the good answers' latency.
std::size_t quantile_bucket(const evidence_window& window, double quantile);

} // namespace chivevane::health
