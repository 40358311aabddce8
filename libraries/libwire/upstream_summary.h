#pragma once

#include <cstdint>
#include <string>

namespace chivevane {

/// Warm-up state as reported by the upstream. It is only a hint, since the gate also determines the
/// state from the traffic.
enum class upstream_warmth : std::uint8_t { cold, warm };

/// Whether an upstream accepts new requests.
enum class upstream_phase : std::uint8_t { serving, draining };

/// State of one endpoint behind the gate of a host, as sent to other hosts. All numbers count
/// requests.
struct upstream_summary {
    std::string m_endpoint;
    std::string m_service;
    std::uint32_t m_slots = 0;       ///< Concurrency limit of the upstream when it is warm.
    std::uint32_t m_concurrency = 0; ///< Concurrency limit that the gate currently applies.
    std::uint32_t m_queued = 0;      ///< Number of requests queued at the gate.
    upstream_warmth m_warmth = upstream_warmth::cold;
    upstream_phase m_phase = upstream_phase::serving;

    auto operator<=>(const upstream_summary&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_endpoint, m_service, m_slots, m_concurrency, m_queued, m_warmth, m_phase);
    }
};

} // namespace chivevane
