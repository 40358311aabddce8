#include "libpolicy/membership/accounts.h"

#include "libbase/digest.h"
#include "libpolicy/membership/timing.h"

#include <algorithm>

namespace chivevane::membership {

namespace {

/// Bytes of upstream summaries in one part of an account; the rest of the datagram is for names,
/// addresses and the signature.
constexpr std::size_t account_part_size = 900;

/// Bytes that a summary takes besides its two names.
constexpr std::size_t summary_overhead = 18;

/// Time until an account is asked for again: several round trips between data centres.
constexpr duration request_repeat = 300ms;

constexpr std::size_t keys_per_request = 40;

std::size_t size_of(const upstream_summary& summary)
{
    return summary_overhead + summary.m_endpoint.size() + summary.m_service.size();
}

/// The part of `account` that begins with upstream `first`.
heartbeat part_of(const heartbeat& account, std::size_t first)
{
    heartbeat part{account.m_identity, account.m_datacentre, account.m_address, account.m_status};
    part.m_documents_digest = account.m_documents_digest;
    part.m_version = account.m_version;
    part.m_counter = account.m_counter;
    part.m_first_upstream = static_cast<std::uint16_t>(first);
    part.m_upstream_count = static_cast<std::uint16_t>(account.m_upstreams.size());
    std::size_t size = 0;
    for (auto place = first; place < account.m_upstreams.size(); ++place) {
        size += size_of(account.m_upstreams[place]);
        if (size > account_part_size && !part.m_upstreams.empty()) {
            break;
        }
        part.m_upstreams.push_back(account.m_upstreams[place]);
    }
    return part;
}

/// Adds a part to those of the same version. Empty until the account is whole.
std::optional<heartbeat> complete_account(std::vector<heartbeat>& parts, const heartbeat& part)
{
    std::erase_if(parts, [&part](const heartbeat& other) {
        return other.m_identity != part.m_identity || other.m_version != part.m_version ||
               other.m_first_upstream == part.m_first_upstream;
    });
    parts.push_back(part);
    std::sort(parts.begin(), parts.end(), [](const heartbeat& left, const heartbeat& right) {
        return left.m_first_upstream < right.m_first_upstream;
    });
    auto whole = parts.front();
    for (auto next = parts.begin() + 1; next != parts.end(); ++next) {
        if (next->m_first_upstream == whole.m_upstreams.size()) {
            const auto& more = next->m_upstreams;
            whole.m_upstreams.insert(whole.m_upstreams.end(), more.begin(), more.end());
        }
    }
    if (whole.m_first_upstream != 0 || whole.m_upstreams.size() < part.m_upstream_count) {
        return std::nullopt;
    }
    parts.clear();
    return whole;
}

bool is_outdated(const heartbeat& news, const heartbeat& known)
{
    const auto new_run = news.m_identity.m_incarnation;
    const auto known_run = known.m_identity.m_incarnation;
    return new_run < known_run || (new_run == known_run && news.m_version <= known.m_version);
}

} // namespace

std::uint64_t key_of(const host_identity& identity)
{
    return stable_hash(identity.m_name, identity.m_incarnation);
}

void send_account(context& surroundings, const member& peer, const host_address& address)
{
    auto account = peer.m_latest;
    account.m_counter = peer.m_counter;
    account.m_documents_digest = peer.m_documents;
    std::size_t next = 0;
    do {
        auto part = part_of(account, next);
        next += part.m_upstreams.size();
        emit(surroundings, send_datagram{address, std::move(part)});
    } while (next < account.m_upstreams.size());
}

void push_own_account(membership_state& state, context& surroundings)
{
    const auto& own_name = state.m_self.m_identity.m_name;
    const auto& self = state.m_members.at(own_name);
    auto left = direct_push_limit;
    for (const auto& [name, peer] : state.m_members) {
        if (name == own_name || peer.m_status == member_status::dead) {
            continue;
        }
        if (left-- == 0) {
            return;
        }
        send_account(surroundings, self, peer.m_latest.m_address);
    }
}

account_effect adopt_account(membership_state& state, context& surroundings, const heartbeat& news)
{
    const auto& identity = news.m_identity;
    const auto known = state.m_members.find(identity.m_name);
    const bool is_known = known != state.m_members.end();
    if (is_known && is_outdated(news, known->second.m_latest)) {
        return account_effect::none;
    }
    const bool is_same_run =
        is_known && known->second.m_latest.m_identity.m_incarnation == identity.m_incarnation;
    std::optional<heartbeat> whole;
    if (is_known) {
        whole = complete_account(known->second.m_parts, news);
    }
    else if (news.m_upstream_count == news.m_upstreams.size()) {
        whole = news;
    }
    else if (news.m_first_upstream == 0) {
        // The first part of a longer account makes the member known; the rest is asked for.
        whole = news;
        whole->m_version = 0;
    }
    if (!whole) {
        return account_effect::none;
    }
    if (is_same_run) {
        known->second.m_latest = std::move(*whole);
        return account_effect::updated;
    }
    if (is_known) {
        state.m_by_key.erase(key_of(known->second.m_latest.m_identity));
    }
    state.m_by_key[key_of(identity)] = identity.m_name;
    const auto status = whole->m_status;
    auto& entry = state.m_members[identity.m_name];
    entry = {std::move(*whole), status, surroundings.m_now, news.m_counter,
             static_cast<std::uint32_t>(news.m_documents_digest)};
    return account_effect::joined;
}

void request_accounts(membership_state& state, context& surroundings, const host_address& address,
                      std::span<const std::uint64_t> keys)
{
    account_request request{surroundings.m_settings.m_address};
    for (const auto key : keys) {
        auto& asked_at = state.m_requested[key];
        const bool is_recent =
            asked_at != instant{} && surroundings.m_now - asked_at < request_repeat;
        if (!is_recent && request.m_keys.size() < keys_per_request) {
            asked_at = surroundings.m_now;
            request.m_keys.push_back(key);
        }
    }
    if (!request.m_keys.empty()) {
        emit(surroundings, send_datagram{address, std::move(request)});
    }
}

} // namespace chivevane::membership
