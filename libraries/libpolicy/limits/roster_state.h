#pragma once

#include "libbase/instant.h"
#include "libpolicy/limits/roster_record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace chivevane {

/// The kind of a store call for the roster.
enum class roster_call_kind : std::uint8_t { read, write };

/// A store call for the roster that has not been answered yet. There is at most one at a time.
struct roster_call {
    std::uint64_t m_operation = 0;
    roster_call_kind m_kind = roster_call_kind::read;
    instant m_sent_at;
    std::uint64_t m_expected_version = 0; ///< Version that a write replaces.
    roster_record m_proposed;             ///< Record that a write proposes.
};

/// Whether this host wants an entry in the roster: `leaving` while it releases its units, `left`
/// once it has no entry any more.
enum class roster_phase : std::uint8_t { member, leaving, left };

/// This host's copy of the roster and the state of its own entry.
struct roster_state {
    roster_record m_record;      ///< The newest record that this host has seen.
    std::uint64_t m_version = 0; ///< Store version of `m_record`; 0 before the first read.
    std::uint64_t m_newest_known_version = 0; ///< The newest version that any host has mentioned.
    /// Expected version of a write of this host that may still take effect.
    std::optional<std::uint64_t> m_unsettled_version;
    std::vector<host_identity> m_own_witnesses; ///< Witnesses of this host's entry in `m_record`.
    std::uint32_t m_units = 0; ///< Units that this host uses or leases; at most those of its entry.
    std::uint32_t m_retained_units = total_units; ///< This host releases its units beyond this.
    instant m_surplus_unused_at; ///< From this time on no host uses more than `m_units` of it.
    std::optional<roster_call> m_call;
    instant m_next_call = instant::max();
    bool m_is_read_required = false; ///< Whether the next store call must be a read.
    std::uint32_t m_failures = 0;    ///< Consecutive store calls that failed.
    /// Holders declared dead by an operator, with the time at which their last lease has expired.
    std::map<host_identity, instant> m_declared_dead;
    roster_phase m_phase = roster_phase::member;
};

} // namespace chivevane
