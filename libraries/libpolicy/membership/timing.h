#pragma once

#include "libbase/instant.h"

#include <cstddef>
#include <cstdint>

namespace chivevane::membership {

/// Length of a gossip round for which the timeouts below are given. If the settings give another
/// length, the timeouts of failure detection are scaled in proportion.
constexpr duration round_interval = 500ms;

/// Age of a member's latest round from which it is probed directly. Several probes fit between it
/// and the death timeout.
constexpr duration overdue_timeout = 1800ms;

/// Age of a member's latest round from which it is suspect and gets no new work.
constexpr duration suspect_timeout = 3s;

/// Age of a member's latest round from which it counts as dead. With one more round until the next
/// check, all hosts detect a death within 5 s.
constexpr duration death_timeout = 4200ms;

/// Time between two events from which this host counts as paused and its view of the others as out
/// of date. The timer fires in every round, so a shorter gap is an ordinary delay.
constexpr duration pause_threshold = 2s;

/// Number of members that one gossip datagram lists besides the sender, at 22 bytes each.
constexpr std::size_t entries_per_gossip = 53;

/// Largest number of peers to which a host pushes its record directly. In larger fleets it pushes
/// the record to its data centre and to a few hosts of each other one, which relay it there.
constexpr std::size_t direct_push_limit = 64;

/// Number of hosts of each other data centre that get a record to relay it. The second one makes up
/// for a loss of the first datagram.
constexpr std::size_t relays_per_datacentre = 2;

/// Number of gossip datagrams about the own data centre that a receiver in it gets in one round, if
/// gossip is divided by data centre.
constexpr std::uint32_t local_datagrams_per_round = 2;

/// How many times the hosts of a data centre together send their view of it to each other data
/// centre in one round, if gossip is divided by data centre.
constexpr double views_per_remote_datacentre = 2;

/// Number of consecutive unanswered probes after which the network path to a member or back counts
/// as broken.
constexpr std::uint32_t unreachable_after_probes = 7;

/// Age of a member's latest round from which the member is removed.
constexpr duration forget_timeout = 24h;

/// Scales a timeout that is given for `round_interval` to rounds of length `round`.
constexpr duration scaled(duration timeout, duration round)
{
    return from_seconds(to_seconds(timeout) * to_seconds(round) / to_seconds(round_interval));
}

} // namespace chivevane::membership
