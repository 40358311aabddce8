#pragma once

#include <cstdint>
#include <string>

namespace chivevane {

/// Warm-up state as reported by the upstream. It is only a hint, since the gate also determines the
/// state from the traffic.
enum class warm_up_state : std::uint8_t { cold, warm };

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
    warm_up_state m_warm_up_state = warm_up_state::cold;
    upstream_phase m_phase = upstream_phase::serving;

    auto operator<=>(const upstream_summary&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_endpoint, m_service, m_slots, m_concurrency, m_queued, m_warm_up_state, m_phase);
    }
};

} // namespace chivevane
