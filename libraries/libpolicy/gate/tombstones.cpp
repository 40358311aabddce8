#include "libpolicy/gate/tombstones.h"

#include <cassert>

namespace chivevane::gate {

void add_tombstone(tombstone_table& table, const attempt_id& id, attempt_fate fate, instant now)
{
    remove_expired_tombstones(table, now);
    [[maybe_unused]] const auto [place, is_new] = table.m_fates.emplace(id, fate);
    assert(is_new);
    table.m_expiries.push_back({now + tombstone_lifetime, id});
}

void remove_expired_tombstones(tombstone_table& table, instant now)
{
    while (!table.m_expiries.empty() && table.m_expiries.front().m_at <= now) {
        table.m_fates.erase(table.m_expiries.front().m_attempt);
        table.m_expiries.pop_front();
    }
}

std::optional<attempt_fate> find_fate(const tombstone_table& table, const attempt_id& id)
{
    const auto found = table.m_fates.find(id);
    return found == table.m_fates.end() ? std::nullopt : std::optional{found->second};
}

} // namespace chivevane::gate
