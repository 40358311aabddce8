#pragma once

#include "libbase/instant.h"
#include "libpolicy/limits/roster_record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace chivevane {

/// What a call on the store for the roster is for.
enum class roster_call_kind : std::uint8_t { read, write };

/// The one call on the store that is under way.
struct roster_call {
    std::uint64_t m_operation = 0;
    roster_call_kind m_kind = roster_call_kind::read;
    instant m_sent_at;
    std::uint64_t m_expected_version = 0;
    roster_record m_proposed; ///< Of a write.
};

/// Whether this host wants a share.
enum class roster_phase : std::uint8_t { member, leaving, left };

/// This host's place in the roster.
struct roster_state {
    roster_record m_record;
    std::uint64_t m_version = 0;        ///< Of `m_record`; 0 before the first read.
    std::uint64_t m_hinted_version = 0; ///< The newest that any host was heard to know.
    std::optional<std::uint64_t> m_unsettled_version; ///< A write at it may yet take effect.
    std::vector<host_identity> m_own_witnesses;       ///< Of this host's entry in `m_record`.
    std::uint32_t m_units = 0; ///< What this host uses and lends; at most its entry's.
    std::uint32_t m_kept_units = total_units; ///< What it wants to keep; the rest is given away.
    instant m_surplus_free_at;                ///< Nobody uses more than `m_units` from here on.
    std::optional<roster_call> m_call;
    instant m_next_call = instant::max();
    bool m_must_read = false;                         ///< Before the next write.
    std::uint32_t m_failures = 0;                     ///< Calls in a row without an answer.
    std::map<host_identity, instant> m_declared_dead; ///< When the last lease of each has ended.
    roster_phase m_phase = roster_phase::member;
};

} // namespace chivevane
