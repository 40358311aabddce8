#pragma once

#include "libbase/instant.h"
#include "libwire/membership_messages.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace chivevane {

/// What this host knows of another host, or of itself.
struct member {
    heartbeat m_latest; ///< Its latest whole account of itself.
    member_status m_status = member_status::alive;
    instant m_heard_at;                    ///< When its latest known round began, or later.
    std::uint32_t m_counter = 0;           ///< Its latest known round.
    std::uint32_t m_documents = 0;         ///< Low half of its documents' digest in that round.
    std::optional<instant> m_direct_at;    ///< When this host last got a datagram from it.
    hearing m_hears_us = hearing::unheard; ///< Whether it says that it hears this host directly.
    std::uint32_t m_unanswered = 0;        ///< Probes sent since its last answer.
    std::vector<heartbeat> m_parts;        ///< Of a newer account that is not whole yet.
    bool m_is_confirmed = true; ///< False after a pause of this host, until it is heard of anew.
};

} // namespace chivevane
