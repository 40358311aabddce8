#include "libpolicy/membership/gossip_view.h"

#include "libpolicy/membership/host_records.h"
#include "libpolicy/membership/peers.h"
#include "libpolicy/membership/timing.h"

#include <algorithm>

namespace chivevane::membership {

namespace {

std::uint16_t age_in_ms(duration age)
{
    return static_cast<std::uint16_t>(std::clamp<std::int64_t>(to_milliseconds(age), 0, 65'535));
}

liveness_entry entry_of(const member& peer, instant now)
{
    return {key_of(peer.m_record.m_identity), peer.m_round, peer.m_record.m_version,
            peer.m_documents_digest_low, age_in_ms(now - peer.m_last_round_at)};
}

bool is_in_scope(const membership_state& state, const member& peer, gossip_scope scope)
{
    switch (scope) {
    case gossip_scope::all:
        return true;
    case gossip_scope::own_datacentre:
        return is_local(state, peer);
    case gossip_scope::other_datacentres:
        return !is_local(state, peer);
    }
    return false;
}

/// Whether gossip may list the member: it is a peer that is not dead and whose round is confirmed.
bool is_gossiped(const membership_state& state, const member& peer)
{
    return peer.m_record.m_identity.m_name != state.m_own_record.m_identity.m_name &&
           peer.m_status != member_status::dead && peer.m_is_confirmed;
}

std::size_t divide_and_round_up(std::size_t dividend, std::size_t divisor)
{
    return (dividend + divisor - 1) / divisor;
}

std::uint32_t datagrams_for(std::size_t members)
{
    const auto datagrams = divide_and_round_up(members, entries_per_gossip);
    return std::max(1U, static_cast<std::uint32_t>(datagrams));
}

/// Returns how many members a datagram of `scope` lists. The datagrams of one view of the own data
/// centre share its members evenly, so that none is listed twice.
std::size_t entries_in(const membership_state& state, gossip_scope scope)
{
    return scope == gossip_scope::own_datacentre ? state.m_local_entries_per_datagram
                                                 : entries_per_gossip;
}

} // namespace

gossip own_gossip(const membership_state& state, instant now)
{
    return {state.m_own_record.m_address,
            {entry_of(state.m_members.at(state.m_own_record.m_identity.m_name), now)}};
}

gossip next_gossip(const membership_state& state, gossip_scope scope, std::string& cursor,
                   instant now)
{
    auto view = own_gossip(state, now);
    auto position = state.m_members.upper_bound(cursor);
    for (std::size_t visited = 0; visited < state.m_members.size(); ++visited) {
        if (position == state.m_members.end()) {
            position = state.m_members.begin();
        }
        const auto& [name, peer] = *position;
        if (is_gossiped(state, peer) && is_in_scope(state, peer, scope)) {
            view.m_entries.push_back(entry_of(peer, now));
            cursor = name;
        }
        if (view.m_entries.size() > entries_in(state, scope)) {
            break;
        }
        ++position;
    }
    return view;
}

bool is_divided_by_datacentre(const membership_state& state)
{
    return state.m_local_datagrams_per_view > 0;
}

void update_rounds_per_view(membership_state& state)
{
    const auto peers = live_peers(state);
    const auto local = local_peers(state, peers).size();
    const auto remote = peers.size() - local;
    const bool is_divided = peers.size() > entries_per_gossip && local > 0 && remote > 0;
    state.m_rounds_per_view = datagrams_for(is_divided ? remote : peers.size());
    state.m_local_datagrams_per_view = 0;
    if (is_divided) {
        const auto datagrams = datagrams_for(local);
        state.m_local_datagrams_per_view = datagrams;
        state.m_local_entries_per_datagram = divide_and_round_up(local, datagrams);
        state.m_local_rounds_per_view =
            static_cast<std::uint32_t>(divide_and_round_up(datagrams, local_datagrams_per_round));
    }
}

std::uint32_t rounds_per_view(const membership_state& state, const member& peer)
{
    return is_divided_by_datacentre(state) && is_local(state, peer) ? state.m_local_rounds_per_view
                                                                    : state.m_rounds_per_view;
}

} // namespace chivevane::membership
