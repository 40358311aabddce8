#pragma once

#include "libpolicy/membership/membership_state.h"
#include "libpolicy/reducer_context.h"

/// The datagrams that a host sends in each round.
namespace chivevane::membership {

/// Sends this host's view of the members to a few of them. Most receivers are determined by the
/// order of the names, so that every host receives gossip equally often. One is random, so that no
/// fixed set of broken network paths can isolate a host. Where the members do not fit into one
/// datagram, gossip inside a data centre lists its members in each round and the others in turn,
/// and gossip to another data centre lists the sender's own.
void send_gossip(membership_state& state, reducer_context& context);

/// Probes some members in turn, and in addition those that have not answered a probe or whose
/// latest known round is overdue. After a pause of this host, all peers that are not dead count as
/// such.
void send_probes(membership_state& state, reducer_context& context);

/// Asks a peer, of the own data centre if this host knows enough of it, to list all members that it
/// knows.
void request_whole_view(const membership_state& state, reducer_context& context);

/// Lists all members that this host knows in gossip to `address`.
void send_whole_view(const membership_state& state, reducer_context& context,
                     const host_address& address);

/// Sends this host's record to a few addresses from the settings and the store that belong to no
/// live member. An isolated host finds its peers in this way, and the two parts of a partitioned
/// fleet find each other.
void contact_candidates(membership_state& state, reducer_context& context);

} // namespace chivevane::membership
