#pragma once

#include "libbase/digest.h"
#include "libbase/instant.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace chivevane {

/// The whole of every organisation's rate and burst. All shares together never exceed it.
constexpr std::uint32_t total_units = 4096; // Enough for hundreds of holders of one roster.

/// Organisations are brokered in this many slots, so that the cost of lending shares does not grow
/// with the number of organisations.
constexpr std::size_t slot_count = 128; // Several for each host of a fleet of some dozens.

/// Longest difference of two hosts' clock rates, added to what a lender waits: 1.01 / 0.99.
constexpr double timeout_margin = 0.021;

/// Tokens are earned slower by this, since a clock may run fast by 200 ppm.
constexpr double earning_margin = 0.00025;

/// A broker may use a share for this long after it sent the request that the lender answered.
constexpr duration lease_duration = 1s; // The organisations of a dead broker wait this long.

/// A borrower may spend a loan for this long after it sent the request for it.
constexpr duration loan_lifetime = 150ms; // Demand is foreseen over a few tens of milliseconds.

/// `length`, stretched so that it ends after the same length on any other host's clock.
constexpr duration with_margin(duration length)
{
    return length + from_seconds(to_seconds(length) * timeout_margin) + 1us;
}

/// The slot of the organisation called `key` (document/organisation).
inline std::size_t slot_of(std::string_view key)
{
    return stable_hash(key) % slot_count;
}

} // namespace chivevane
