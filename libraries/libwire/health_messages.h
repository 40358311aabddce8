#pragma once

#include "libwire/upstream_id.h"

#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace chivevane {

/// What one host saw of one upstream on one route during one window.
struct upstream_evidence {
    upstream_id m_upstream;
    std::string m_service;
    std::string m_route;
    std::uint32_t m_requests = 0;
    std::uint32_t m_failures = 0;
    std::uint64_t m_latency_sum_us = 0;

    bool operator==(const upstream_evidence&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_upstream, m_service, m_route, m_requests, m_failures, m_latency_sum_us);
    }
};

/// The evidence of one host for one window. A later message for the same window replaces it.
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
