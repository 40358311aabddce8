#include "libpolicy/health/cusum_tests.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace chivevane::health {

namespace {

constexpr double least_peer_requests = 15;     // A peer with fewer says nothing about the ordinary.
constexpr std::size_t slow_distance = 3;       // Buckets above the median: a factor of 2 to 2.8.
constexpr std::size_t straggling_distance = 7; // A factor of 8 to 11.
constexpr double largest_usable_share = 0.6;   // A symptom that most peers show tells nothing.

// A sum of s is passed by a healthy upstream about once in exp(s) runs upward. Latency has the
// larger bound since its ordinary share is larger, so that runs are more frequent.
constexpr std::array<double, symptom_count> sick_sum{8, 12, 12};

// How many times the peers' share the recent answers must show, so that a trouble which reaches the
// upstreams one after the other is not taken for that of the first.
constexpr std::array<double, symptom_count> bearing_out{3, 2.5, 3};
constexpr double least_excess = 0.03;
constexpr double largest_sum = 24;
constexpr double common_weight = 2; // Sums of equally sick upstreams seldom differ twofold.

// The peers' share comes from few answers, so a symptom that is rare among them is still assumed to
// be at least this frequent.
constexpr std::array<double, symptom_count> least_share{0.01, 0.05, 0.03};
constexpr std::array<double, symptom_count> sick_factor{2, 2.6, 2}; // Of a sick one's share.

double median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

template <typename Counts>
double showing(const Counts& counts, std::size_t index, std::size_t from)
{
    if (index == static_cast<std::size_t>(symptom::failing)) {
        return counts.m_failures;
    }
    const auto first = counts.m_latencies.begin() + static_cast<std::ptrdiff_t>(from);
    return std::accumulate(first, counts.m_latencies.end(), 0.0);
}

} // namespace

double ordinary_share(std::vector<peer_share> peers)
{
    std::sort(peers.begin(), peers.end(), [](const peer_share& left, const peer_share& right) {
        return left.m_showing * right.m_requests < right.m_showing * left.m_requests;
    });
    peers.resize(peers.size() - peers.size() / 3);
    double showing = 0;
    double requests = 0;
    for (const auto& peer : peers) {
        showing += peer.m_showing;
        requests += peer.m_requests;
    }
    return requests > 0 ? showing / requests : 0;
}

peer_reference refer_to(std::span<const evidence_window* const> peers)
{
    peer_reference reference;
    std::vector<const evidence_window*> telling;
    std::vector<double> medians;
    for (const auto* peer : peers) {
        if (requests_of(*peer) >= least_peer_requests) {
            telling.push_back(peer);
            medians.push_back(static_cast<double>(quantile_bucket(*peer, 0.5)));
        }
    }
    if (telling.empty()) {
        return reference;
    }
    reference.m_is_known = true;
    const auto middle = static_cast<std::size_t>(median(medians));
    reference.m_from = {0, std::min(middle + slow_distance, latency_bucket_count),
                        std::min(middle + straggling_distance, latency_bucket_count)};
    for (std::size_t index = 0; index < symptom_count; ++index) {
        std::vector<peer_share> shares;
        shares.reserve(telling.size());
        for (const auto* peer : telling) {
            shares.push_back({showing(*peer, index, reference.m_from[index]), requests_of(*peer)});
        }
        reference.m_expected[index] = ordinary_share(std::move(shares));
    }
    return reference;
}

std::array<double, symptom_count> evidence_of(const evidence_delta& answers,
                                              const peer_reference& reference)
{
    std::array<double, symptom_count> evidence{};
    const double requests = requests_of(answers);
    for (std::size_t index = 0; reference.m_is_known && index < symptom_count; ++index) {
        const auto healthy = least_share[index] + 1.5 * reference.m_expected[index];
        if (healthy >= largest_usable_share) {
            continue;
        }
        const auto sick = std::min(0.95, 0.13 + sick_factor[index] * healthy);
        const auto hits = showing(answers, index, reference.m_from[index]);
        evidence[index] = hits * std::log(sick / healthy) +
                          (requests - hits) * std::log((1 - sick) / (1 - healthy));
    }
    return evidence;
}

void add(suspicion& tests, const std::array<double, symptom_count>& evidence)
{
    for (std::size_t index = 0; index < symptom_count; ++index) {
        auto& sum = tests.m_sum[index];
        sum = std::clamp(sum + evidence[index], 0.0, largest_sum);
    }
}

void count(symptom_counts& counts, const evidence_window& window, const peer_reference& reference)
{
    if (!reference.m_is_known) {
        return;
    }
    const auto requests = requests_of(window);
    counts.m_requests += requests;
    for (std::size_t index = 0; index < symptom_count; ++index) {
        counts.m_observed[index] += showing(window, index, reference.m_from[index]);
        counts.m_expected[index] += requests * reference.m_expected[index];
    }
}

std::array<double, symptom_count> common_sums(std::span<const suspicion* const> peers)
{
    std::array<double, symptom_count> common{};
    for (std::size_t index = 0; !peers.empty() && index < symptom_count; ++index) {
        std::vector<double> sums;
        for (const auto* peer : peers) {
            sums.push_back(peer->m_sum[index]);
        }
        common[index] = median(std::move(sums));
    }
    return common;
}

severity severity_of(const suspicion& tests, const std::array<double, symptom_count>& common,
                     const symptom_counts& recent)
{
    severity worst;
    for (std::size_t index = 0; index < symptom_count; ++index) {
        const bool is_borne_out =
            recent.m_observed[index] >
            bearing_out[index] * recent.m_expected[index] + least_excess * recent.m_requests;
        const auto own_part = tests.m_sum[index] - common_weight * common[index];
        if (is_borne_out && own_part / sick_sum[index] > worst.m_value) {
            worst = {own_part / sick_sum[index], static_cast<symptom>(index)};
        }
    }
    return worst;
}

double excess_of(const symptom_counts& recent)
{
    double largest = 0;
    for (std::size_t index = 0; recent.m_requests > 0 && index < symptom_count; ++index) {
        const auto excess = recent.m_observed[index] - recent.m_expected[index];
        largest = std::max(largest, excess / recent.m_requests);
    }
    return largest;
}

} // namespace chivevane::health
