#include "libpolicy/membership/peers.h"

#include "libpolicy/membership/timing.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <string_view>

namespace chivevane::membership {

namespace {

std::map<std::string_view, peer_list> remote_peers_by_datacentre(const membership_state& state)
{
    std::map<std::string_view, peer_list> groups;
    for (const auto* const peer : remote_peers(state, live_peers(state))) {
        groups[peer->m_record.m_datacentre].push_back(peer);
    }
    return groups;
}

} // namespace

peer_list live_peers(const membership_state& state)
{
    peer_list peers;
    const auto self = state.m_members.find(state.m_own_record.m_identity.m_name);
    const auto add = [&peers](auto first, auto last) {
        for (; first != last; ++first) {
            if (first->second.m_status != member_status::dead) {
                peers.push_back(&first->second);
            }
        }
    };
    add(std::next(self), state.m_members.end());
    add(state.m_members.begin(), self);
    return peers;
}

bool is_local(const membership_state& state, const member& peer)
{
    return peer.m_record.m_datacentre == state.m_own_record.m_datacentre;
}

peer_list local_peers(const membership_state& state, const peer_list& peers)
{
    peer_list local;
    std::copy_if(peers.begin(), peers.end(), std::back_inserter(local),
                 [&state](const member* peer) { return is_local(state, *peer); });
    return local;
}

peer_list remote_peers(const membership_state& state, const peer_list& peers)
{
    peer_list remote;
    std::copy_if(peers.begin(), peers.end(), std::back_inserter(remote),
                 [&state](const member* peer) { return !is_local(state, *peer); });
    return remote;
}

const member* random_peer(const peer_list& peers, reducer_context& context)
{
    return peers[context.m_random(static_cast<std::uint32_t>(peers.size()))];
}

std::size_t count_other_datacentres(const membership_state& state)
{
    return remote_peers_by_datacentre(state).size();
}

const member* random_remote_peer(const membership_state& state, reducer_context& context)
{
    const auto groups = remote_peers_by_datacentre(state);
    if (groups.empty()) {
        return nullptr;
    }
    const auto pick = context.m_random(static_cast<std::uint32_t>(groups.size()));
    return random_peer(std::next(groups.begin(), pick)->second, context);
}

peer_list sample_other_datacentres(const membership_state& state, reducer_context& context,
                                   std::size_t count)
{
    peer_list sample;
    for (auto& [datacentre, peers] : remote_peers_by_datacentre(state)) {
        for (std::size_t taken = 0; taken < count && !peers.empty(); ++taken) {
            const auto pick = context.m_random(static_cast<std::uint32_t>(peers.size()));
            sample.push_back(peers[pick]);
            peers.erase(peers.begin() + pick);
        }
    }
    return sample;
}

bool is_large_fleet(const membership_state& state)
{
    return std::max(state.m_members.size(), state.m_registration.m_registered.size()) >
           direct_push_limit;
}

} // namespace chivevane::membership
