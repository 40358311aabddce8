#include "libpolicy/health/cusum_tests.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace chivevane::health {

namespace {

constexpr double min_peer_requests = 15; // Fewer answers of a peer say nothing about the baseline.
// Offsets from the median's bucket: 2 to 2.8 times and 8 to 11 times the median latency.
constexpr std::size_t slow_bucket_offset = 3;
constexpr std::size_t straggling_bucket_offset = 7;
constexpr double max_usable_share = 0.6; // A symptom that most peers show is no evidence.

// The sum of a healthy upstream exceeds s in about one of exp(s) upward runs. Latency has larger
// thresholds because its symptoms have larger baseline shares, so that runs are more frequent.
constexpr std::array<double, symptom_count> ejection_thresholds{8, 12, 12};

// The recent answers must show this many times the peers' share, so that a fault that reaches the
// upstreams one after the other is not attributed to the first one alone.
constexpr std::array<double, symptom_count> required_factor{3, 2.5, 3};
constexpr double min_excess_share = 0.03;
constexpr double max_sum = 24;

// Sums of equally unhealthy upstreams rarely differ by more than this factor.
constexpr double peer_sum_weight = 2;

// The peers' share may come from few answers, so a symptom that is rare among them is still assumed
// to have at least this share.
constexpr std::array<double, symptom_count> min_share{0.01, 0.05, 0.03};

// An unhealthy upstream is assumed to show a symptom with a fixed share plus this multiple of the
// share that a healthy one shows.
constexpr std::array<double, symptom_count> unhealthy_factor{2, 2.6, 2};

double median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

template <typename Counts>
double affected_answers(const Counts& counts, std::size_t index, std::size_t first_bucket)
{
    if (index == static_cast<std::size_t>(symptom::failing)) {
        return counts.m_failures;
    }
    const auto first = counts.m_latencies.begin() + static_cast<std::ptrdiff_t>(first_bucket);
    return std::accumulate(first, counts.m_latencies.end(), 0.0);
}

} // namespace

double baseline_share(std::vector<peer_counts> peers)
{
    std::sort(peers.begin(), peers.end(), [](const peer_counts& left, const peer_counts& right) {
        return left.m_affected * right.m_requests < right.m_affected * left.m_requests;
    });
    peers.resize(peers.size() - peers.size() / 3);
    double affected = 0;
    double requests = 0;
    for (const auto& peer : peers) {
        affected += peer.m_affected;
        requests += peer.m_requests;
    }
    return requests > 0 ? affected / requests : 0;
}

peer_baseline baseline_of(std::span<const evidence_window* const> peers)
{
    peer_baseline baseline;
    std::vector<const evidence_window*> informative;
    std::vector<double> medians;
    for (const auto* peer : peers) {
        if (request_count(*peer) >= min_peer_requests) {
            informative.push_back(peer);
            medians.push_back(static_cast<double>(quantile_bucket(*peer, 0.5)));
        }
    }
    if (informative.empty()) {
        return baseline;
    }
    baseline.m_is_known = true;
    const auto median_bucket = static_cast<std::size_t>(median(medians));
    baseline.m_first_bucket = {
        0, std::min(median_bucket + slow_bucket_offset, latency_bucket_count),
        std::min(median_bucket + straggling_bucket_offset, latency_bucket_count)};
    for (std::size_t index = 0; index < symptom_count; ++index) {
        std::vector<peer_counts> counts;
        counts.reserve(informative.size());
        for (const auto* peer : informative) {
            counts.push_back({affected_answers(*peer, index, baseline.m_first_bucket[index]),
                              request_count(*peer)});
        }
        baseline.m_expected_share[index] = baseline_share(std::move(counts));
    }
    return baseline;
}

std::array<double, symptom_count> log_likelihood_ratios(const evidence_delta& answers,
                                                        const peer_baseline& baseline)
{
    std::array<double, symptom_count> evidence{};
    const double requests = request_count(answers);
    for (std::size_t index = 0; baseline.m_is_known && index < symptom_count; ++index) {
        const auto healthy = min_share[index] + 1.5 * baseline.m_expected_share[index];
        if (healthy >= max_usable_share) {
            continue;
        }
        const auto unhealthy = std::min(0.95, 0.13 + unhealthy_factor[index] * healthy);
        const auto affected = affected_answers(answers, index, baseline.m_first_bucket[index]);
        evidence[index] = affected * std::log(unhealthy / healthy) +
                          (requests - affected) * std::log((1 - unhealthy) / (1 - healthy));
    }
    return evidence;
}

void add(cusum_tests& tests, const std::array<double, symptom_count>& evidence)
{
    for (std::size_t index = 0; index < symptom_count; ++index) {
        auto& sum = tests.m_sum[index];
        sum = std::clamp(sum + evidence[index], 0.0, max_sum);
    }
}

void count_symptoms(symptom_counts& counts, const evidence_window& window,
                    const peer_baseline& baseline)
{
    if (!baseline.m_is_known) {
        return;
    }
    const auto requests = request_count(window);
    counts.m_requests += requests;
    for (std::size_t index = 0; index < symptom_count; ++index) {
        counts.m_observed[index] += affected_answers(window, index, baseline.m_first_bucket[index]);
        counts.m_expected[index] += requests * baseline.m_expected_share[index];
    }
}

std::array<double, symptom_count> median_sums(std::span<const cusum_tests* const> peers)
{
    std::array<double, symptom_count> peer_sums{};
    for (std::size_t index = 0; !peers.empty() && index < symptom_count; ++index) {
        std::vector<double> sums;
        for (const auto* peer : peers) {
            sums.push_back(peer->m_sum[index]);
        }
        peer_sums[index] = median(std::move(sums));
    }
    return peer_sums;
}

severity severity_of(const cusum_tests& tests, const std::array<double, symptom_count>& peer_sums,
                     const symptom_counts& recent)
{
    severity worst;
    for (std::size_t index = 0; index < symptom_count; ++index) {
        const bool is_supported =
            recent.m_observed[index] > required_factor[index] * recent.m_expected[index] +
                                           min_excess_share * recent.m_requests;
        const auto own_sum = tests.m_sum[index] - peer_sum_weight * peer_sums[index];
        if (is_supported && own_sum / ejection_thresholds[index] > worst.m_value) {
            worst = {own_sum / ejection_thresholds[index], static_cast<symptom>(index)};
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
