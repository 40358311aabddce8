#pragma once

#include "libbase/instant.h"
#include "libwire/upstream_summary.h"

#include <cstdint>
#include <string>

namespace chivevane {

/// Announcement of an upstream to its host. The upstream is removed when no further announcement
/// comes within `m_time_to_live`.
struct upstream_announcement {
    std::string m_endpoint; ///< Unique on the host.
    std::string m_service;
    std::string m_ip;
    std::uint16_t m_port = 0;
    std::uint32_t m_slots = 1; ///< Requests that the upstream runs at once when warm.
    warm_up_state m_warm_up_state = warm_up_state::cold;
    upstream_phase m_phase = upstream_phase::serving;
    std::uint64_t m_run = 0; ///< Changes when the upstream restarts.
    duration m_time_to_live = 5s;

    bool operator==(const upstream_announcement&) const = default;
};

} // namespace chivevane
