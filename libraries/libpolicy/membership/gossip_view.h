#pragma once

#include "libpolicy/membership/membership_state.h"

#include <string>

/// What gossip lists: the parts of a host's view of the members.
namespace chivevane::membership {

/// The members that a gossip datagram may list, besides its sender.
enum class gossip_scope : std::uint8_t { all, own_datacentre, other_datacentres };

/// Returns a gossip message with this host's entry and the entries of the members of `scope` after
/// `cursor`, as many as fit into one datagram. Advances the cursor.
gossip next_gossip(const membership_state& state, gossip_scope scope, std::string& cursor,
                   instant now);

/// Returns a gossip message that lists this host alone.
gossip own_gossip(const membership_state& state, instant now);

/// Whether gossip is divided by data centre, because the members do not fit into one datagram.
bool is_divided_by_datacentre(const membership_state& state);

/// Updates how many rounds it takes gossip to list all members.
void update_rounds_per_view(membership_state& state);

/// Returns the number of rounds it takes gossip to list the members of the data centre of `peer`.
/// The timeouts of failure detection are multiplied by it.
std::uint32_t rounds_per_view(const membership_state& state, const member& peer);

} // namespace chivevane::membership
