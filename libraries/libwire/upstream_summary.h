#pragma once

#include <cstdint>
#include <string>

namespace chivevane {

/// What upstreams say of their temperature. A hint: the gate watches the traffic itself.
enum class upstream_warmth : std::uint8_t { cold, warm };

/// Whether an upstream takes new work.
enum class upstream_phase : std::uint8_t { serving, draining };

/// What a host tells other hosts about one endpoint behind its gate.
struct upstream_summary {
    std::string m_endpoint;
    std::string m_service;
    std::uint32_t m_slots = 0;       ///< Requests that the upstream runs at once when warm.
    std::uint32_t m_concurrency = 0; ///< Requests that the gate admits at once now.
    std::uint32_t m_queued = 0;      ///< Requests that wait at the gate.
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
