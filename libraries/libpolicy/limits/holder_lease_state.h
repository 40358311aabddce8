#pragma once

#include "libbase/instant.h"
#include "libwire/host_identity.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace chivevane {

/// How far this host has tracked the removal of a holder that is marked for removal in the roster.
struct holder_removal {
    std::uint64_t m_removal_version = 0; ///< Roster version that marked the holder's entry.
    /// When this host saw that a majority of the holder's witnesses know of the mark.
    std::optional<instant> m_fenced_at;
};

/// The holder lease of this host, and which unavailable holders it tracks.
struct holder_lease_state {
    instant m_valid_until; ///< This host may use its own units before this time.
    /// When this host sent the latest request that each witness answered with a confirmation.
    std::map<host_identity, instant> m_confirmed_at;
    /// When this host sent the latest store call whose answer had its entry without a mark.
    std::optional<instant> m_store_confirmed_at;
    /// Witness lists that this host has proposed in roster writes whose outcome is not known yet.
    std::vector<std::vector<host_identity>> m_unsettled_witnesses;
    /// The newest roster version that each host process is known to have read.
    std::map<host_identity, std::uint64_t> m_known_roster_versions;
    /// Since when each holder has not been alive. A time in the future delays the next mark.
    std::map<host_identity, instant> m_missing_since;
    std::map<host_identity, holder_removal> m_removals; ///< Removals in progress, by holder.
};

} // namespace chivevane
