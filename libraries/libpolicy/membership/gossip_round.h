#pragma once

#include "libpolicy/context.h"
#include "libpolicy/membership/membership_state.h"

/// What one host sends in each round.
namespace chivevane::membership {

/// Sends this host's view of the members to a few of them. Most receivers follow from the order of
/// the names, so that every host is told equally often; one is random, so that no fixed set of
/// broken ways can cut a host off.
void send_gossip(membership_state& state, context& surroundings);

/// Probes some members in turn, and those that owe an answer or were not heard of.
void send_probes(membership_state& state, context& surroundings);

/// Introduces this host to some addresses from the settings and the store that belong to no live
/// member: a lost host finds its peers by it, and a divided fleet its other part.
void contact_candidates(membership_state& state, context& surroundings);

} // namespace chivevane::membership
