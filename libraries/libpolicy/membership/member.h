#pragma once

#include "libbase/instant.h"
#include "libwire/membership_messages.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace chivevane {

/// What this host knows about a host of the fleet, itself included.
struct member {
    host_record m_record; ///< The latest complete record of the member.
    member_status m_status = member_status::alive;
    /// Time at which the latest known round of the member began, or a little later.
    instant m_last_round_at;
    std::uint32_t m_round = 0; ///< Number of the latest known round.
    /// Low half of the digest of the member's documents in that round.
    std::uint32_t m_documents_digest_low = 0;
    std::optional<instant> m_last_datagram_at; ///< Time of the last datagram from the member.
    /// Whether the member reports datagrams from this host.
    direct_reception m_reported_reception = direct_reception::none;
    std::uint32_t m_unanswered_probes = 0;   ///< Number of probes since the member's last answer.
    std::vector<host_record> m_record_parts; ///< Received parts of a newer, incomplete record.
    /// False after a pause of this host, until a newer round of the member is known.
    bool m_is_confirmed = true;
};

} // namespace chivevane
