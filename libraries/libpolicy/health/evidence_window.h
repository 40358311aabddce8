#pragma once

#include "libbase/instant.h"
#include "libwire/health_messages.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace chivevane::health {

/// The bucket that counts answers of this latency.
std::size_t bucket_of(duration latency);

/// The latency below which all answers of the bucket are; the last bucket has no real bound.
duration upper_bound_of(std::size_t bucket);

/// New answers between two states of the same counters.
struct evidence_delta {
    std::uint32_t m_failures = 0;
    std::array<std::uint32_t, latency_bucket_count> m_latencies{};
};

/// What `later` counts more than `earlier`, modulo the counters' size.
evidence_delta difference(const evidence_counters& later, const evidence_counters& earlier);

/// Adds `more` to `sum`.
void accumulate(evidence_delta& sum, const evidence_delta& more);

std::uint32_t requests_of(const evidence_delta& delta);

/// Recent answers of one upstream on one route. Old ones count less with time, but the last few
/// stay however old they are, so that services with little traffic are judged as well.
struct evidence_window {
    double m_failures = 0;
    std::array<double, latency_bucket_count> m_latencies{};
    instant m_decayed_at;
};

void decay(evidence_window& window, instant now);

/// Adds answers; `window` must have been decayed to the present.
void add(evidence_window& window, const evidence_delta& delta);

/// Answers in the window, failures included.
double requests_of(const evidence_window& window);

/// The bucket in which the share `quantile` of the good answers is reached.
std::size_t quantile_bucket(const evidence_window& window, double quantile);

} // namespace chivevane::health
