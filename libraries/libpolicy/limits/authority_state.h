#pragma once

#include "libbase/instant.h"
#include "libwire/host_identity.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace chivevane {

/// The removal of a holder that is marked in the roster, as this host carries it out.
struct holder_removal {
    std::uint64_t m_mark = 0;
    std::optional<instant> m_fenced_at; ///< When enough witnesses were seen to know of the mark.
};

/// Whether this host may use its own units, and what it does about holders that are gone.
struct authority_state {
    instant m_valid_until;                            ///< Own units may be used until then.
    std::map<host_identity, instant> m_vouched_at;    ///< When the vouched-for request was sent.
    std::optional<instant> m_store_contact;           ///< When the last good call was sent.
    std::vector<std::vector<host_identity>> m_others; ///< Own witness lists in unsettled writes.
    std::map<host_identity, std::uint64_t> m_known_versions; ///< Of the roster, by process.
    std::map<host_identity, instant> m_missing_since;        ///< Holders that are not alive.
    std::map<host_identity, holder_removal> m_removals;
};

} // namespace chivevane
