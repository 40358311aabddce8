#include "libpolicy/membership/gossip_round.h"

#include "libpolicy/membership/host_records.h"
#include "libpolicy/membership/membership.h"
#include "libpolicy/membership/timing.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace chivevane::membership {

namespace {

/// Number of rounds between two gossip datagrams to a random dead member, by which a healed
/// partition is detected.
constexpr std::uint32_t dead_member_contact_rounds = 2;

/// Largest number of probes per round to members that are overdue or have not answered. It bounds
/// the cost while many members do not answer.
constexpr std::size_t unresponsive_probe_limit = 16;

/// A probe reports direct reception from its receiver if a datagram came from it within this time.
constexpr duration reception_window = 10s;

std::uint16_t age_in_ms(duration age)
{
    return static_cast<std::uint16_t>(std::clamp<std::int64_t>(to_milliseconds(age), 0, 65'535));
}

liveness_entry entry_of(const member& peer, instant now)
{
    return {key_of(peer.m_record.m_identity), peer.m_round, peer.m_record.m_version,
            peer.m_documents_digest_low, age_in_ms(now - peer.m_last_round_at)};
}

/// Whether gossip lists the member: it is a peer that is not dead and whose round is confirmed.
bool is_gossiped(const membership_state& state, const std::string& name, const member& peer)
{
    return name != state.m_own_record.m_identity.m_name && peer.m_status != member_status::dead &&
           peer.m_is_confirmed;
}

/// Returns a gossip message with this host's entry and the entries of the members after the cursor,
/// as many as fit into one datagram. Advances the cursor.
gossip next_gossip(membership_state& state, instant now)
{
    gossip view{state.m_own_record.m_address,
                {entry_of(state.m_members.at(state.m_own_record.m_identity.m_name), now)}};
    auto position = state.m_members.upper_bound(state.m_gossip_cursor);
    for (std::size_t visited = 0; visited < state.m_members.size(); ++visited) {
        if (position == state.m_members.end()) {
            position = state.m_members.begin();
        }
        if (is_gossiped(state, position->first, position->second)) {
            view.m_entries.push_back(entry_of(position->second, now));
            state.m_gossip_cursor = position->first;
        }
        if (view.m_entries.size() > entries_per_gossip) {
            break;
        }
        ++position;
    }
    return view;
}

/// Returns the peers that are not dead, in the order of their names, beginning after this host's
/// name and wrapping around.
std::vector<const member*> ring_of(const membership_state& state)
{
    std::vector<const member*> ring;
    const auto self = state.m_members.find(state.m_own_record.m_identity.m_name);
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

const member* random_member(const std::vector<const member*>& group, reducer_context& context)
{
    return group[context.m_random(static_cast<std::uint32_t>(group.size()))];
}

/// Returns the member of `ring` at the distance chosen for `round`. The distances cycle through the
/// Fibonacci numbers up to the length of the ring, so that gossip reaches every host in a number of
/// steps logarithmic in the number of hosts. Powers of two never select a member of the same data
/// centre where consecutive names alternate between three data centres.
const member* member_at_stride(const std::vector<const member*>& ring, std::uint32_t round)
{
    std::vector<std::size_t> strides{1};
    for (std::size_t next = 2; next <= ring.size(); next += strides[strides.size() - 2]) {
        strides.push_back(next);
    }
    return ring[strides[round % strides.size()] - 1];
}

/// Chooses one receiver in this host's data centre, one in the whole fleet, and a random one,
/// without duplicates. Without a peer in this data centre, the first is chosen from the whole
/// fleet.
std::vector<const member*> choose_receivers(const std::vector<const member*>& ring,
                                            const std::string& datacentre, std::uint32_t round,
                                            reducer_context& context)
{
    std::vector<const member*> local_ring;
    std::copy_if(ring.begin(), ring.end(), std::back_inserter(local_ring),
                 [&](const member* peer) { return peer->m_record.m_datacentre == datacentre; });
    std::vector<const member*> receivers;
    for (const auto* const peer : {member_at_stride(local_ring.empty() ? ring : local_ring, round),
                                   member_at_stride(ring, round), random_member(ring, context)}) {
        if (std::find(receivers.begin(), receivers.end(), peer) == receivers.end()) {
            receivers.push_back(peer);
        }
    }
    return receivers;
}

void send_probe(membership_state& state, reducer_context& context, member& peer)
{
    const bool has_recent_datagram =
        peer.m_last_datagram_at && context.m_now - *peer.m_last_datagram_at < reception_window;
    const auto nonce = state.m_resume_nonce.value_or(++state.m_last_nonce);
    const auto& self = state.m_members.at(state.m_own_record.m_identity.m_name);
    ++peer.m_unanswered_probes;
    emit(context,
         send_datagram{
             peer.m_record.m_address,
             probe{state.m_own_record.m_address, nonce, self.m_round, self.m_documents_digest_low,
                   has_recent_datagram ? direct_reception::recent : direct_reception::none}});
}

/// Probes the next members after the cursor that have no unanswered probe.
void probe_round_robin(membership_state& state, reducer_context& context)
{
    std::size_t sent = 0;
    const auto probe_count = context.m_settings.m_gossip.m_probe_fanout;
    for (std::size_t visited = 0; visited < state.m_members.size() && sent < probe_count;
         ++visited) {
        auto position = state.m_members.upper_bound(state.m_probe_cursor);
        if (position == state.m_members.end()) {
            position = state.m_members.begin();
        }
        state.m_probe_cursor = position->first;
        auto& peer = position->second;
        const bool is_self = position->first == state.m_own_record.m_identity.m_name;
        if (!is_self && peer.m_status != member_status::dead && peer.m_unanswered_probes == 0) {
            send_probe(state, context, peer);
            ++sent;
        }
    }
}

} // namespace

void send_gossip(membership_state& state, reducer_context& context)
{
    const auto round = state.m_members.at(state.m_own_record.m_identity.m_name).m_round;
    if (const auto ring = ring_of(state); !ring.empty()) {
        auto receivers = choose_receivers(ring, state.m_own_record.m_datacentre, round, context);
        const auto receiver_limit = context.m_settings.m_gossip.m_gossip_fanout;
        receivers.resize(std::min<std::size_t>(receivers.size(), receiver_limit));
        for (const auto* const receiver : receivers) {
            emit(context,
                 send_datagram{receiver->m_record.m_address, next_gossip(state, context.m_now)});
        }
    }
    if (round % dead_member_contact_rounds != 0) {
        return;
    }
    if (const auto dead = dead_members(state); !dead.empty()) {
        emit(context, send_datagram{random_member(dead, context)->m_record.m_address,
                                    next_gossip(state, context.m_now)});
    }
}

void send_probes(membership_state& state, reducer_context& context)
{
    std::size_t sent = 0;
    for (auto& [name, peer] : state.m_members) {
        const bool is_self = name == state.m_own_record.m_identity.m_name;
        if (is_self || peer.m_status == member_status::dead || sent == unresponsive_probe_limit) {
            continue;
        }
        const auto timeout = scaled(overdue_timeout, context.m_settings.m_gossip.m_round_interval);
        const bool is_overdue =
            context.m_now - peer.m_last_round_at > timeout * state.m_datagrams_per_view;
        if (peer.m_unanswered_probes > 0 || is_overdue || state.m_resume_nonce) {
            send_probe(state, context, peer);
            ++sent;
        }
    }
    probe_round_robin(state, context);
}

void contact_candidates(membership_state& state, reducer_context& context)
{
    const auto& settings = context.m_settings;
    auto candidates = settings.m_seeds;
    for (const auto& registered : state.m_registration.m_registered) {
        candidates.push_back(registered.m_address);
    }
    for (const auto& [name, peer] : state.m_members) {
        if (peer.m_status != member_status::dead) {
            std::erase(candidates, peer.m_record.m_address);
        }
    }
    const auto& self = state.m_members.at(state.m_own_record.m_identity.m_name);
    for (std::size_t sent = 0; sent < settings.m_gossip.m_contact_fanout && !candidates.empty();
         ++sent) {
        const auto pick = context.m_random(static_cast<std::uint32_t>(candidates.size()));
        send_host_record(context, self, candidates[pick]);
        candidates.erase(candidates.begin() + pick);
    }
}

} // namespace chivevane::membership
