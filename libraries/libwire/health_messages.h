#pragma once

#include "libwire/upstream_id.h"

#include <array>
#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chivevane {

/// Number of buckets of a latency histogram. The bucket bounds grow by a factor of the square root
/// of two, so that 24 buckets cover 0.5 ms to 1.4 s.
constexpr std::size_t latency_bucket_count = 24;

/// Cumulative counts of the responses of one upstream on one route, modulo 65,536. The receiver
/// uses the difference from the last counts it received, so lost, duplicated or reordered reports
/// do not distort the totals.
struct evidence_counters {
    std::uint16_t m_failures = 0;
    /// Successful responses by latency bucket.
    std::array<std::uint16_t, latency_bucket_count> m_latencies{};

    bool operator==(const evidence_counters&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_failures, m_latencies);
    }
};

/// Health observations of one host about one upstream on one route.
struct upstream_evidence {
    upstream_id m_upstream; ///< An empty host name means an upstream on the sending host, observed
                            ///< by the gate of that host.
    std::string m_service;
    std::string m_route;
    std::uint32_t m_since = 0; ///< Window of the sender in which these counters started from zero.
    evidence_counters m_counters;

    bool operator==(const upstream_evidence&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_upstream, m_service, m_route, m_since, m_counters);
    }
};

/// Health observations of one host up to and including one reporting window; one window may need
/// several reports. The receiver ignores counters that are not newer than those it has.
struct health_report {
    std::uint64_t m_window = 0; ///< Sequence number of the sender's reporting window.
    std::vector<upstream_evidence> m_evidence;

    bool operator==(const health_report&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_window, m_evidence);
    }
};

} // namespace chivevane
