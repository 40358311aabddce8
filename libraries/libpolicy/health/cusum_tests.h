#pragma once

#include "libpolicy/health/evidence_window.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace chivevane::health {

/// A deviation from the peers by which an unhealthy upstream is recognised.
enum class symptom : std::uint8_t {
    failing,   ///< A larger share of failures.
    slow,      ///< A larger share of answers well above the peers' median latency.
    straggling ///< A larger share of answers far above the peers' median latency.
};
constexpr std::size_t symptom_count = 3;

/// The behaviour of the other upstreams of the service on a route, for comparison.
struct peer_baseline {
    bool m_is_known = false; ///< At least one peer has enough answers.
    /// The lowest latency bucket that shows each symptom; unused for failures.
    std::array<std::size_t, symptom_count> m_first_bucket;
    /// The share of the peers' answers that shows each symptom.
    std::array<double, symptom_count> m_expected_share;
};

/// The number of a peer's answers, and how many of them show a symptom.
struct peer_counts {
    double m_affected = 0; ///< Answers that show the symptom.
    double m_requests = 0; ///< All answers.
};

/// The share of affected answers over all peers without the worst third, which may be unhealthy.
double baseline_share(std::vector<peer_counts> peers);

/// Computes the baseline for an upstream from the windows of all its peers on the same route.
peer_baseline baseline_of(std::span<const evidence_window* const> peers);

/// Sequential tests (Page's cumulative sum, CUSUM) of one upstream on one route, or on all routes
/// together, one for each symptom. A sum grows with answers that are more likely from an unhealthy
/// upstream than from its peers, and never falls below zero.
struct cusum_tests {
    std::array<double, symptom_count> m_sum{};
};

/// The evidence that each test gains from new answers: the logarithm of the likelihood of an
/// unhealthy upstream relative to that of a healthy one.
std::array<double, symptom_count> log_likelihood_ratios(const evidence_delta& answers,
                                                        const peer_baseline& baseline);

/// Adds evidence to the sums.
void add(cusum_tests& tests, const std::array<double, symptom_count>& evidence);

/// The number of recent answers that show each symptom, and the number to expect from the peers'
/// shares.
struct symptom_counts {
    double m_requests = 0; ///< All recent answers.
    std::array<double, symptom_count> m_observed{};
    std::array<double, symptom_count> m_expected{};
};

/// Adds the answers in `window` to `counts`.
void count_symptoms(symptom_counts& counts, const evidence_window& window,
                    const peer_baseline& baseline);

/// The median of the peers' sums for each symptom. It measures a fault that affects all upstreams.
std::array<double, symptom_count> median_sums(std::span<const cusum_tests* const> peers);

/// The largest sum relative to its ejection threshold, after subtracting the peers' sums, among the
/// symptoms that the recent answers support. From 1 on the upstream counts as unhealthy.
struct severity {
    double m_value = 0;
    symptom m_symptom = symptom::failing; ///< The symptom with that sum.
};

/// Computes the severity of `tests`; `peer_sums` holds the median sums of the peers.
severity severity_of(const cusum_tests& tests, const std::array<double, symptom_count>& peer_sums,
                     const symptom_counts& recent);

/// The largest share of recent answers, 0 to 1, that show a symptom beyond what the peers show.
double excess_of(const symptom_counts& recent);

} // namespace chivevane::health
