#include "libpolicy/gate/tombstones.h"

#include <cassert>

namespace chivevane::gate {

void add_tombstone(tombstone_table& table, const attempt_id& id, execution_status status,
                   instant now)
{
    remove_expired_tombstones(table, now);
    [[maybe_unused]] const auto [place, is_new] = table.m_statuses.emplace(id, status);
    assert(is_new);
    table.m_expiries.push_back({now + tombstone_lifetime, id});
}

void remove_expired_tombstones(tombstone_table& table, instant now)
{
    while (!table.m_expiries.empty() && table.m_expiries.front().m_at <= now) {
        table.m_statuses.erase(table.m_expiries.front().m_attempt);
        table.m_expiries.pop_front();
    }
}

std::optional<execution_status> find_execution_status(const tombstone_table& table,
                                                      const attempt_id& id)
{
    const auto found = table.m_statuses.find(id);
    return found == table.m_statuses.end() ? std::nullopt : std::optional{found->second};
}

} // namespace chivevane::gate
