#include "libpolicy/membership/gossip_round.h"

#include "libpolicy/membership/gossip_view.h"
#include "libpolicy/membership/host_records.h"
#include "libpolicy/membership/membership.h"
#include "libpolicy/membership/peers.h"
#include "libpolicy/membership/timing.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace chivevane::membership {

namespace {

/// Number of rounds between two gossip datagrams to a random dead member, by which a healed
/// partition is detected.
constexpr std::uint32_t dead_member_contact_rounds = 2;

/// Largest number of probes per round to members that are overdue or have not answered. It bounds
/// the cost while many members do not answer.
constexpr std::size_t unresponsive_probe_limit = 16;

/// Share of the gossip to other data centres that lists members of any. By it, two groups of hosts
/// of one data centre find each other that know only hosts of others in common.
constexpr double whole_view_share = 0.1;

/// A probe reports direct reception from its receiver if a datagram came from it within this time.
constexpr duration reception_window = 10s;

peer_list dead_members(const membership_state& state)
{
    peer_list dead;
    for (const auto& [name, peer] : state.m_members) {
        if (peer.m_status == member_status::dead) {
            dead.push_back(&peer);
        }
    }
    return dead;
}

/// Returns the member of `ring` at the distance chosen for `round`. The distances cycle through the
/// Fibonacci numbers up to the length of the ring, so that gossip reaches every host in a number of
/// steps logarithmic in the number of hosts. Powers of two never select a member of the same data
/// centre where consecutive names alternate between three data centres.
const member* member_at_stride(const peer_list& ring, std::uint32_t round)
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
peer_list choose_receivers(const membership_state& state, const peer_list& ring,
                           std::uint32_t round, reducer_context& context)
{
    const auto local_ring = local_peers(state, ring);
    peer_list receivers;
    for (const auto* const peer : {member_at_stride(local_ring.empty() ? ring : local_ring, round),
                                   member_at_stride(ring, round), random_peer(ring, context)}) {
        if (std::find(receivers.begin(), receivers.end(), peer) == receivers.end()) {
            receivers.push_back(peer);
        }
    }
    receivers.resize(
        std::min<std::size_t>(receivers.size(), context.m_settings.m_gossip.m_gossip_fanout));
    return receivers;
}

void send_view(membership_state& state, reducer_context& context, const member& receiver,
               gossip_scope scope, std::string& cursor)
{
    emit(context, send_datagram{receiver.m_record.m_address,
                                next_gossip(state, scope, cursor, context.m_now)});
}

/// Sends gossip to peers of the own data centre: what is new in it in each round, and a part of
/// what is known of the others.
void send_local_gossip(membership_state& state, reducer_context& context, const peer_list& local,
                       std::uint32_t round)
{
    peer_list receivers{member_at_stride(local, round)};
    if (const auto* const other = random_peer(local, context); other != receivers.front()) {
        receivers.push_back(other);
    }
    const auto datagrams = std::min(local_datagrams_per_round, state.m_local_datagrams_per_view);
    for (const auto* const receiver : receivers) {
        for (std::uint32_t sent = 0; sent < datagrams; ++sent) {
            send_view(state, context, *receiver, gossip_scope::own_datacentre,
                      state.m_gossip_cursor);
        }
        send_view(state, context, *receiver, gossip_scope::other_datacentres,
                  state.m_remote_gossip_cursor);
    }
}

/// Sends gossip about the own data centre to others. All hosts of the data centre share this duty,
/// so that the bytes between two data centres do not grow with the product of their sizes.
void send_remote_gossip(membership_state& state, reducer_context& context, const peer_list& local)
{
    const auto datacentres = static_cast<double>(count_other_datacentres(state));
    const auto hosts = static_cast<double>(local.size() + 1);
    state.m_remote_datagrams_due +=
        views_per_remote_datacentre * datacentres * state.m_local_datagrams_per_view / hosts;
    for (; state.m_remote_datagrams_due >= 1; state.m_remote_datagrams_due -= 1) {
        const auto* const receiver = random_remote_peer(state, context);
        if (receiver == nullptr) {
            return;
        }
        const bool lists_all = uniform_fraction(context.m_random) < whole_view_share;
        send_view(state, context, *receiver,
                  lists_all ? gossip_scope::all : gossip_scope::own_datacentre,
                  state.m_outgoing_gossip_cursor);
    }
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

/// Returns the addresses from the settings and the store that belong to no live member.
std::vector<registered_host> unknown_candidates(const membership_state& state,
                                                const reducer_context& context)
{
    auto candidates = state.m_registration.m_registered;
    for (const auto& seed : context.m_settings.m_seeds) {
        candidates.push_back({{}, seed});
    }
    std::set<host_address> known{state.m_own_record.m_address};
    for (const auto* const peer : live_peers(state)) {
        known.insert(peer->m_record.m_address);
    }
    std::erase_if(candidates, [&known](const registered_host& candidate) {
        return known.contains(candidate.m_address);
    });
    return candidates;
}

/// Whether a host of another data centre need not be contacted, because enough others of it were.
bool has_enough_relays(const membership_state& state, const registered_host& candidate,
                       const std::map<std::string, std::size_t>& contacted)
{
    const auto& datacentre = candidate.m_datacentre;
    const auto found = contacted.find(datacentre);
    return is_large_fleet(state) && !datacentre.empty() &&
           datacentre != state.m_own_record.m_datacentre && found != contacted.end() &&
           found->second >= relays_per_datacentre;
}

/// Whether this host knows less than half as many hosts of its data centre as of others on average.
/// The few may then know no more of it than this host does.
bool knows_few_local_peers(const membership_state& state, const peer_list& local)
{
    const auto remote = remote_peers(state, live_peers(state)).size();
    return 2 * count_other_datacentres(state) * local.size() < remote;
}

} // namespace

void send_gossip(membership_state& state, reducer_context& context)
{
    const auto round = state.m_members.at(state.m_own_record.m_identity.m_name).m_round;
    const auto ring = live_peers(state);
    const auto local = local_peers(state, ring);
    if (is_divided_by_datacentre(state) && !local.empty()) {
        send_local_gossip(state, context, local, round);
        send_remote_gossip(state, context, local);
    }
    else if (!ring.empty()) {
        for (const auto* const receiver : choose_receivers(state, ring, round, context)) {
            send_view(state, context, *receiver, gossip_scope::all, state.m_gossip_cursor);
        }
    }
    if (round % dead_member_contact_rounds != 0) {
        return;
    }
    if (const auto dead = dead_members(state); !dead.empty()) {
        // The own entry is enough to be found alive; the receiver then requests and gossips the
        // rest.
        emit(context, send_datagram{random_peer(dead, context)->m_record.m_address,
                                    own_gossip(state, context.m_now)});
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
            context.m_now - peer.m_last_round_at > timeout * rounds_per_view(state, peer);
        if (peer.m_unanswered_probes > 0 || is_overdue || state.m_resume_nonce) {
            send_probe(state, context, peer);
            ++sent;
        }
    }
    probe_round_robin(state, context);
}

void request_whole_view(const membership_state& state, reducer_context& context)
{
    const auto peers = live_peers(state);
    const auto local = local_peers(state, peers);
    if (const auto& asked = knows_few_local_peers(state, local) ? peers : local; !asked.empty()) {
        emit(context, send_datagram{random_peer(asked, context)->m_record.m_address,
                                    host_record_request{context.m_settings.m_address, {}}});
    }
}

void send_whole_view(const membership_state& state, reducer_context& context,
                     const host_address& address)
{
    std::string cursor;
    for (std::size_t listed = 0; listed < state.m_members.size(); listed += entries_per_gossip) {
        emit(context,
             send_datagram{address, next_gossip(state, gossip_scope::all, cursor, context.m_now)});
    }
}

void contact_candidates(membership_state& state, reducer_context& context)
{
    auto candidates = unknown_candidates(state, context);
    const auto& self = state.m_members.at(state.m_own_record.m_identity.m_name);
    std::map<std::string, std::size_t> contacted; // By data centre.
    auto left = context.m_settings.m_gossip.m_contact_fanout;
    while (left > 0 && !candidates.empty()) {
        const auto pick = context.m_random(static_cast<std::uint32_t>(candidates.size()));
        const auto candidate = std::move(candidates[pick]);
        candidates.erase(candidates.begin() + pick);
        if (!has_enough_relays(state, candidate, contacted)) {
            send_host_record(context, self, candidate.m_address);
            ++contacted[candidate.m_datacentre];
            --left;
        }
    }
}

} // namespace chivevane::membership
