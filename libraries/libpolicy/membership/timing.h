#pragma once

#include "libbase/instant.h"

#include <cstddef>
#include <cstdint>

namespace chivevane::membership {

/// Time between two rounds of gossip of one host that the timeouts below are for. Where the
/// settings ask for longer rounds, the timeouts are as many times longer.
constexpr duration round_interval = 500ms;

/// Age of a member's latest round from which it is probed directly: several probes fit in before it
/// would count as dead.
constexpr duration overdue_timeout = 1800ms;

/// Age of a member's latest round from which it gets no new work.
constexpr duration suspect_timeout = 3s;

/// Age of a member's latest round from which it counts as dead: with one round until the next
/// check, all hosts know of a death within 5 s.
constexpr duration death_timeout = 4200ms;

/// A pause of this host between two events from which its view of the others is out of date. The
/// timer fires every round, so that a shorter gap is ordinary delay.
constexpr duration pause_threshold = 2s;

/// Members that one datagram has room for, besides the sender: 22 bytes each.
constexpr std::size_t entries_per_gossip = 53;

/// Largest fleet in which accounts are sent to every member directly instead of on request.
constexpr std::size_t direct_push_limit = 64;

/// Unanswered probes in a row after which the way to a member or back counts as broken.
constexpr std::uint32_t unreachable_after_probes = 7;

/// Time after which a member that stays dead is forgotten.
constexpr duration forget_timeout = 24h;

/// `timeout` for rounds of length `round`.
constexpr duration scaled(duration timeout, duration round)
{
    return from_seconds(to_seconds(timeout) * to_seconds(round) / to_seconds(round_interval));
}

} // namespace chivevane::membership
