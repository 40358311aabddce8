#pragma once

#include "libbase/instant.h"
#include "libwire/attempt_id.h"
#include "libwire/fate_messages.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace chivevane {

/// An attempt that falls out of memory at `m_at`.
struct tombstone_expiry {
    instant m_at;
    attempt_id m_attempt;
};

/// What stays of finished, refused and voided attempts, so that late copies are refused.
struct tombstone_table {
    std::map<attempt_id, attempt_fate> m_fates;
    std::deque<tombstone_expiry> m_expiries; ///< In order of time.
};

} // namespace chivevane

namespace chivevane::gate {

/// How long the fate of an attempt is remembered. An attempt or void request that carries a gate
/// clock at least this old is not believed, so no copy outlives the memory of it.
constexpr duration tombstone_lifetime = 30s;

/// Attempts that a gate remembers, live ones included. At the bound, new attempts are refused
/// without a promise, since even a "not run" has to be remembered to stay true.
constexpr std::size_t max_remembered_attempts = 65'536;

/// Remembers the fate of an attempt that has none yet, and forgets those whose time has come.
void bury(tombstone_table& table, const attempt_id& id, attempt_fate fate, instant now);

/// Forgets the attempts whose time has come.
void forget_expired(tombstone_table& table, instant now);

/// The remembered fate of an attempt.
std::optional<attempt_fate> find_fate(const tombstone_table& table, const attempt_id& id);

} // namespace chivevane::gate
