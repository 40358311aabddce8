#pragma once

#include "libpolicy/health/evidence_window.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace chivevane::health {

/// What may set an upstream apart from its peers.
enum class symptom : std::uint8_t {
    failing,   ///< More failures.
    slow,      ///< More answers well above the peers' median.
    straggling ///< More answers far above the peers' median.
};
constexpr std::size_t symptom_count = 3;

/// How the other upstreams of the service fare on a route.
struct peer_reference {
    bool m_is_known = false;                       ///< Some peer has enough evidence.
    std::array<std::size_t, symptom_count> m_from; ///< First bucket that shows the symptom.
    std::array<double, symptom_count> m_expected;  ///< Share of answers that show it.
};

/// How many of a peer's answers show a symptom.
struct peer_share {
    double m_showing = 0;
    double m_requests = 0;
};

/// The share over all peers but the third that fares worst, which may be sick.
double ordinary_share(std::vector<peer_share> peers);

/// The reference for an upstream from the windows of all its peers on the same route.
peer_reference refer_to(std::span<const evidence_window* const> peers);

/// One upstream's sequential tests (Page's cumulative sum) on one route, or on all together. A sum
/// grows with answers that a sick upstream gives more often than its peers do.
struct suspicion {
    std::array<double, symptom_count> m_sum{};
};

/// Evidence that one test gains from new answers: the logarithm of the likelihood ratio.
std::array<double, symptom_count> evidence_of(const evidence_delta& answers,
                                              const peer_reference& reference);

void add(suspicion& tests, const std::array<double, symptom_count>& evidence);

/// How many of the recent answers show each symptom, and how many would with the peers' shares.
struct symptom_counts {
    double m_requests = 0;
    std::array<double, symptom_count> m_observed{};
    std::array<double, symptom_count> m_expected{};
};
void count(symptom_counts& counts, const evidence_window& window, const peer_reference& reference);

/// Per symptom, the median of the sums that the peers have: what befalls all of them at present.
std::array<double, symptom_count> common_sums(std::span<const suspicion* const> peers);

/// The worst sum, as far as it exceeds what befalls the peers as well, relative to the bound of its
/// test, where the recent answers bear it out; 1 and more is sick.
struct severity {
    double m_value = 0;
    symptom m_symptom = symptom::failing; ///< The one that is worst.
};
severity severity_of(const suspicion& tests, const std::array<double, symptom_count>& common,
                     const symptom_counts& recent);

/// The largest share of the recent answers that show a symptom beyond what the peers show, 0 to 1.
double excess_of(const symptom_counts& recent);

} // namespace chivevane::health
