#pragma once

#include "libbase/instant.h"
#include "libwire/attempt_id.h"
#include "libwire/attempt_messages.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace chivevane {

/// Time at which the tombstone of an attempt expires.
struct tombstone_expiry {
    instant m_at;
    attempt_id m_attempt;
};

/// Tombstones of finished, refused and cancelled attempts, by which late copies are refused.
struct tombstone_table {
    std::map<attempt_id, execution_status> m_statuses;
    std::deque<tombstone_expiry> m_expiries; ///< Earliest expiry first.
};

} // namespace chivevane

namespace chivevane::gate {

/// How long a tombstone lasts. A gate clock reading at least this old is rejected in attempts and
/// cancel requests, so that no copy of an attempt is accepted after its tombstone has expired.
constexpr duration tombstone_lifetime = 30s;

/// Number of attempts that a gate remembers, unfinished ones included. At the limit, new attempts
/// are refused with an unknown outcome, since the promise "not run" needs a tombstone to hold.
constexpr std::size_t max_remembered_attempts = 65'536;

/// Adds the tombstone of an attempt that has none, and removes expired tombstones.
void add_tombstone(tombstone_table& table, const attempt_id& id, execution_status status,
                   instant now);

void remove_expired_tombstones(tombstone_table& table, instant now);

/// The execution status in the tombstone of an attempt; empty without one.
std::optional<execution_status> find_execution_status(const tombstone_table& table,
                                                      const attempt_id& id);

} // namespace chivevane::gate
