#pragma once

#include "libpolicy/membership/membership_state.h"
#include "libpolicy/reducer_context.h"

#include <cstddef>
#include <vector>

/// Selections of the peers that are not dead.
namespace chivevane::membership {

/// Peers of this host in the order of their names, beginning after this host's name and wrapping
/// around.
using peer_list = std::vector<const member*>;

/// Returns the peers that are not dead.
peer_list live_peers(const membership_state& state);

/// Whether `peer` is in the data centre of this host.
bool is_local(const membership_state& state, const member& peer);

/// Returns those of `peers` that are in this host's data centre.
peer_list local_peers(const membership_state& state, const peer_list& peers);

/// Returns those of `peers` that are in other data centres.
peer_list remote_peers(const membership_state& state, const peer_list& peers);

/// Returns a random one of `peers`, which must not be empty.
const member* random_peer(const peer_list& peers, reducer_context& context);

/// Returns the number of other data centres with a peer that is not dead.
std::size_t count_other_datacentres(const membership_state& state);

/// Returns a random peer of a random other data centre; null if there is none. Each data centre is
/// equally likely, whatever its size.
const member* random_remote_peer(const membership_state& state, reducer_context& context);

/// Returns up to `count` random peers of each other data centre.
peer_list sample_other_datacentres(const membership_state& state, reducer_context& context,
                                   std::size_t count);

/// Whether the fleet is too large for each host to send its record to all others. Registered hosts
/// count too: a process that has just started does not know the members yet.
bool is_large_fleet(const membership_state& state);

} // namespace chivevane::membership
