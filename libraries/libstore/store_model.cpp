#include "libstore/store_model.h"

#include "libbase/result.h"

#include <vector>

namespace chivevane {

namespace {

std::uint64_t current_version(const store_model& store, const std::string& key)
{
    const auto found = store.m_entries.find(key);
    return found == store.m_entries.end() ? 0 : found->second.m_entry.m_version;
}

store_outcome read(const store_model& store, const store_read& operation)
{
    store_entries found{store.m_revision, {}, {store.m_era, store.m_revision}};
    for (const auto& [key, item] : store.m_entries) {
        if (key.starts_with(operation.m_prefix) && item.m_entry.m_version != 0) {
            found.m_entries.push_back(item.m_entry);
        }
    }
    return found;
}

store_outcome watch(const store_model& store, const store_watch& operation)
{
    store_entries found{store.m_revision, {}, {store.m_era, store.m_revision}};
    for (const auto& [key, item] : store.m_entries) {
        if (key.starts_with(operation.m_prefix) && item.m_changed_at > operation.m_after_revision) {
            found.m_entries.push_back(item.m_entry);
        }
    }
    return found;
}

store_outcome compare_and_swap(store_model& store, const store_compare_and_swap& operation)
{
    const auto version = current_version(store, operation.m_key);
    if (version != operation.m_expected_version) {
        const auto found = store.m_entries.find(operation.m_key);
        return store_conflict{found == store.m_entries.end() ? store_entry{operation.m_key, {}, 0}
                                                             : found->second.m_entry};
    }
    if (operation.m_lease != 0 && !store.m_leases.contains(operation.m_lease)) {
        return store_lease_not_found{};
    }
    // A version is never reused, not even after the key was deleted.
    const auto next = ++store.m_revision;
    store.m_entries[operation.m_key] = {
        {operation.m_key, operation.m_value, next}, next, operation.m_lease};
    return store_written{next};
}

void end_lease(store_model& store, std::uint64_t lease)
{
    store.m_leases.erase(lease);
    for (auto& [key, item] : store.m_entries) {
        if (item.m_lease == lease && item.m_entry.m_version != 0) {
            item = {{key, {}, 0}, ++store.m_revision, 0};
        }
    }
}

store_outcome grant(store_model& store, const store_grant_lease& operation, instant now)
{
    const auto lease = ++store.m_last_lease;
    store.m_leases[lease] = {operation.m_time_to_live, now + operation.m_time_to_live};
    return store_lease{lease, operation.m_time_to_live};
}

store_outcome renew(store_model& store, const store_renew_lease& operation, instant now)
{
    const auto found = store.m_leases.find(operation.m_lease);
    if (found == store.m_leases.end()) {
        return store_lease_not_found{};
    }
    found->second.m_expires_at = now + found->second.m_time_to_live;
    return store_lease{operation.m_lease, found->second.m_time_to_live};
}

} // namespace

store_outcome apply_store_operation(store_model& store, const store_operation& operation,
                                    instant now)
{
    expire_leases(store, now);
    return std::visit(
        overloaded{
            [&](const store_read& each) { return read(store, each); },
            [&](const store_compare_and_swap& each) { return compare_and_swap(store, each); },
            [&](const store_grant_lease& each) { return grant(store, each, now); },
            [&](const store_renew_lease& each) { return renew(store, each, now); },
            [&](const store_revoke_lease& each) {
                end_lease(store, each.m_lease);
                return store_outcome{store_lease{each.m_lease, duration{}}};
            },
            [&](const store_watch& each) { return watch(store, each); },
        },
        operation);
}

void expire_leases(store_model& store, instant now)
{
    std::vector<std::uint64_t> expired;
    for (const auto& [lease, item] : store.m_leases) {
        if (item.m_expires_at <= now) {
            expired.push_back(lease);
        }
    }
    for (const auto lease : expired) {
        end_lease(store, lease);
    }
}

} // namespace chivevane
