#include "libpolicy/membership/gossip_round.h"

#include "libpolicy/membership/accounts.h"
#include "libpolicy/membership/membership.h"
#include "libpolicy/membership/timing.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace chivevane::membership {

namespace {

/// Rounds between two attempts to reach some dead member, by which a healed partition is noticed.
constexpr std::uint32_t dead_contact_rounds = 2;

/// Most probes of one round: bounds the cost while many members do not answer.
constexpr std::size_t probe_limit = 16;

/// A peer counts as heard directly if a datagram came from it within this time.
constexpr duration hearing_window = 10s;

std::uint16_t age_in_ms(duration age)
{
    return static_cast<std::uint16_t>(std::clamp<std::int64_t>(to_milliseconds(age), 0, 65'535));
}

liveness entry_of(const member& peer, instant now)
{
    return {key_of(peer.m_latest.m_identity), peer.m_counter, peer.m_latest.m_version,
            peer.m_documents, age_in_ms(now - peer.m_heard_at)};
}

bool is_told_of(const membership_state& state, const std::string& name, const member& peer)
{
    return name != state.m_self.m_identity.m_name && peer.m_status != member_status::dead &&
           peer.m_is_confirmed;
}

/// This host's entry and those of the members after the cursor, as many as fit.
gossip next_view(membership_state& state, instant now)
{
    gossip view{state.m_self.m_address,
                {entry_of(state.m_members.at(state.m_self.m_identity.m_name), now)}};
    auto place = state.m_members.upper_bound(state.m_window_cursor);
    for (std::size_t seen = 0; seen < state.m_members.size(); ++seen) {
        if (place == state.m_members.end()) {
            place = state.m_members.begin();
        }
        if (is_told_of(state, place->first, place->second)) {
            view.m_entries.push_back(entry_of(place->second, now));
            state.m_window_cursor = place->first;
        }
        if (view.m_entries.size() > entries_per_gossip) {
            break;
        }
        ++place;
    }
    return view;
}

/// The members that are not dead, in order of their names and beginning after this host's name.
std::vector<const member*> ring_of(const membership_state& state)
{
    std::vector<const member*> ring;
    const auto self = state.m_members.find(state.m_self.m_identity.m_name);
    const auto add = [&ring](auto first, auto last) {
        for (; first != last; ++first) {
            if (first->second.m_status != member_status::dead) {
                ring.push_back(&first->second);
            }
        }
    };
    add(std::next(self), state.m_members.end());
    add(state.m_members.begin(), self);
    return ring;
}

std::vector<const member*> dead_members(const membership_state& state)
{
    std::vector<const member*> dead;
    for (const auto& [name, peer] : state.m_members) {
        if (peer.m_status == member_status::dead) {
            dead.push_back(&peer);
        }
    }
    return dead;
}

const member* any_of(const std::vector<const member*>& group, context& surroundings)
{
    return group[surroundings.m_random(static_cast<std::uint32_t>(group.size()))];
}

/// The member of `ring` at the distance that is due in `round`. The distances are the Fibonacci
/// numbers up to the length of the ring: they reach every host in a number of steps logarithmic in
/// their count. Powers of two would never meet a member of the same data centre where the names
/// alternate between three of them.
const member* at_stride(const std::vector<const member*>& ring, std::uint32_t round)
{
    std::vector<std::size_t> strides{1};
    for (std::size_t next = 2; next <= ring.size(); next += strides[strides.size() - 2]) {
        strides.push_back(next);
    }
    return ring[strides[round % strides.size()] - 1];
}

/// One receiver in this host's data centre, one anywhere, and a random one.
std::vector<const member*> receivers_of(const std::vector<const member*>& ring,
                                        const std::string& datacentre, std::uint32_t round,
                                        context& surroundings)
{
    std::vector<const member*> near;
    std::copy_if(ring.begin(), ring.end(), std::back_inserter(near),
                 [&](const member* peer) { return peer->m_latest.m_datacentre == datacentre; });
    std::vector<const member*> receivers;
    for (const auto* const peer : {at_stride(near.empty() ? ring : near, round),
                                   at_stride(ring, round), any_of(ring, surroundings)}) {
        if (std::find(receivers.begin(), receivers.end(), peer) == receivers.end()) {
            receivers.push_back(peer);
        }
    }
    return receivers;
}

void send_probe(membership_state& state, context& surroundings, member& peer)
{
    const bool hears = peer.m_direct_at && surroundings.m_now - *peer.m_direct_at < hearing_window;
    const auto nonce = state.m_resume_nonce.value_or(++state.m_last_nonce);
    const auto& self = state.m_members.at(state.m_self.m_identity.m_name);
    ++peer.m_unanswered;
    emit(surroundings,
         send_datagram{peer.m_latest.m_address,
                       probe{state.m_self.m_address, nonce, self.m_counter, self.m_documents,
                             hears ? hearing::heard : hearing::unheard}});
}

/// The next members after the cursor that are owed a probe in turn.
void probe_in_turn(membership_state& state, context& surroundings)
{
    std::size_t sent = 0;
    const auto wanted = surroundings.m_settings.m_timing.m_probes;
    for (std::size_t seen = 0; seen < state.m_members.size() && sent < wanted; ++seen) {
        auto place = state.m_members.upper_bound(state.m_probe_cursor);
        if (place == state.m_members.end()) {
            place = state.m_members.begin();
        }
        state.m_probe_cursor = place->first;
        auto& peer = place->second;
        const bool is_self = place->first == state.m_self.m_identity.m_name;
        if (!is_self && peer.m_status != member_status::dead && peer.m_unanswered == 0) {
            send_probe(state, surroundings, peer);
            ++sent;
        }
    }
}

} // namespace

void send_gossip(membership_state& state, context& surroundings)
{
    const auto round = state.m_members.at(state.m_self.m_identity.m_name).m_counter;
    if (const auto ring = ring_of(state); !ring.empty()) {
        auto receivers = receivers_of(ring, state.m_self.m_datacentre, round, surroundings);
        const auto wanted = surroundings.m_settings.m_timing.m_receivers;
        receivers.resize(std::min<std::size_t>(receivers.size(), wanted));
        for (const auto* const receiver : receivers) {
            emit(surroundings,
                 send_datagram{receiver->m_latest.m_address, next_view(state, surroundings.m_now)});
        }
    }
    if (round % dead_contact_rounds != 0) {
        return;
    }
    if (const auto dead = dead_members(state); !dead.empty()) {
        emit(surroundings, send_datagram{any_of(dead, surroundings)->m_latest.m_address,
                                         next_view(state, surroundings.m_now)});
    }
}

void send_probes(membership_state& state, context& surroundings)
{
    std::size_t repeated = 0;
    for (auto& [name, peer] : state.m_members) {
        const bool is_self = name == state.m_self.m_identity.m_name;
        if (is_self || peer.m_status == member_status::dead || repeated == probe_limit) {
            continue;
        }
        const auto timeout = scaled(overdue_timeout, surroundings.m_settings.m_timing.m_round);
        const bool is_overdue = surroundings.m_now - peer.m_heard_at > timeout * state.m_views;
        if (peer.m_unanswered > 0 || is_overdue || state.m_resume_nonce) {
            send_probe(state, surroundings, peer);
            ++repeated;
        }
    }
    probe_in_turn(state, surroundings);
}

void contact_candidates(membership_state& state, context& surroundings)
{
    const auto& settings = surroundings.m_settings;
    auto candidates = settings.m_seeds;
    const auto& registered = state.m_registration.m_candidates;
    candidates.insert(candidates.end(), registered.begin(), registered.end());
    for (const auto& [name, peer] : state.m_members) {
        if (peer.m_status != member_status::dead) {
            std::erase(candidates, peer.m_latest.m_address);
        }
    }
    const auto& self = state.m_members.at(state.m_self.m_identity.m_name);
    for (std::size_t sent = 0; sent < settings.m_timing.m_contacts && !candidates.empty(); ++sent) {
        const auto pick = surroundings.m_random(static_cast<std::uint32_t>(candidates.size()));
        send_account(surroundings, self, candidates[pick]);
        candidates.erase(candidates.begin() + pick);
    }
}

} // namespace chivevane::membership
