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

/// Latency is counted in buckets whose bounds grow by the square root of two; 24 of them reach from
/// 0.5 ms to 1.4 s.
constexpr std::size_t latency_bucket_count = 24;

/// Counts of answers since the sender's process started, modulo 65,536. The receiver takes the
/// difference to what it had last, so a lost, doubled or late report loses nothing.
struct evidence_counters {
    std::uint16_t m_failures = 0;
    std::array<std::uint16_t, latency_bucket_count> m_latencies{}; ///< Good answers by latency.

    bool operator==(const evidence_counters&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_failures, m_latencies);
    }
};

/// What one host saw of one upstream on one route.
struct upstream_evidence {
    upstream_id m_upstream; ///< An empty host is the sender: then its gate is the source.
    std::string m_service;
    std::string m_route;
    std::uint32_t m_since = 0; ///< The sender's window in which these counters began at zero.
    evidence_counters m_counters;

    bool operator==(const upstream_evidence&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_upstream, m_service, m_route, m_since, m_counters);
    }
};

/// A part of one host's evidence as of one window. A report of an older window changes nothing.
struct health_report {
    std::uint64_t m_window = 0; ///< Counts the sender's windows.
    std::vector<upstream_evidence> m_evidence;

    bool operator==(const health_report&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_window, m_evidence);
    }
};

} // namespace chivevane
