#include "libpolicy/store_stub.h"

#include "libbase/result.h"

namespace chivevane::test {

store_entries store_stub::read(std::string_view prefix, std::uint64_t after) const
{
    store_entries found{m_revision, {}, {0, m_revision}};
    for (const auto& [key, held] : m_entries) {
        if (key.starts_with(prefix) && held.m_revision > after) {
            found.m_entries.push_back(held.m_entry);
        }
    }
    return found;
}

store_outcome store_stub::write(const store_compare_and_swap& wanted)
{
    auto& held = m_entries[wanted.m_key];
    if (held.m_entry.m_version != wanted.m_expected_version) {
        return store_conflict{held.m_entry};
    }
    if (wanted.m_lease != 0 && !m_leases.contains(wanted.m_lease)) {
        return store_lease_not_found{};
    }
    const auto version = held.m_entry.m_version + 1;
    held = {{wanted.m_key, wanted.m_value, version}, ++m_revision, wanted.m_lease};
    return store_written{version};
}

std::vector<store_stub::answer> store_stub::handle(std::size_t host, const call_store& call,
                                                   instant now)
{
    if (const auto* watch = std::get_if<store_watch>(&call.m_operation)) {
        m_watches.push_back({host, call, now + watch->m_timeout});
        return expire(now);
    }
    const auto outcome = std::visit(
        overloaded{
            [&](const store_read& wanted) -> store_outcome { return read(wanted.m_prefix); },
            [&](const store_compare_and_swap& wanted) { return write(wanted); },
            [&](const store_grant_lease& wanted) -> store_outcome {
                m_leases[++m_last_lease] = {now + wanted.m_time_to_live, wanted.m_time_to_live};
                return store_lease{m_last_lease, wanted.m_time_to_live};
            },
            [&](const store_renew_lease& wanted) -> store_outcome {
                const auto found = m_leases.find(wanted.m_lease);
                if (found == m_leases.end() || found->second.first < now) {
                    return store_lease_not_found{};
                }
                found->second.first = now + found->second.second;
                return store_lease{wanted.m_lease, found->second.second};
            },
            [&](const store_revoke_lease& wanted) -> store_outcome {
                m_leases[wanted.m_lease].first = {};
                return store_lease{};
            },
            [&](const store_watch&) -> store_outcome { return store_failure{}; }},
        call.m_operation);
    auto answers = expire(now);
    answers.push_back({host, {call.m_operation_id, call.m_purpose, outcome}});
    return answers;
}

std::vector<store_stub::answer> store_stub::expire(instant now)
{
    std::erase_if(m_leases, [&](const auto& lease) {
        const bool is_over = lease.second.first < now;
        if (is_over) {
            std::erase_if(m_entries,
                          [&](const auto& held) { return held.second.m_lease == lease.first; });
        }
        return is_over;
    });
    std::vector<answer> answers;
    std::erase_if(m_watches, [&](const waiting_watch& waiting) {
        const auto& watch = std::get<store_watch>(waiting.m_call.m_operation);
        auto found = read(watch.m_prefix, watch.m_after_revision);
        if (found.m_entries.empty() && now < waiting.m_until) {
            return false;
        }
        answers.push_back(
            {waiting.m_host, {waiting.m_call.m_operation_id, waiting.m_call.m_purpose, found}});
        return true;
    });
    return answers;
}

} // namespace chivevane::test
