#pragma once

#include "libbase/digest.h"
#include "libbase/instant.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace chivevane {

/// Number of equal units into which each organisation's rate and burst are divided. A share is a
/// number of units; all shares together never exceed this total.
constexpr std::uint32_t total_units = 4096; // Enough for hundreds of holders of one roster.

/// Number of slots that the organisations are hashed into. Shares are leased for each slot, so that
/// the cost of leasing does not grow with the number of organisations.
constexpr std::size_t slot_count = 128; // Several for each host of a fleet of some dozens.

/// Fraction that is added to the time a lender waits, to allow for clocks that run at different
/// rates: 1.01 / 0.99 for rates that are 1% off.
constexpr double timeout_margin = 0.021;

/// Fraction by which tokens are refilled more slowly, since a clock may run fast by 200 ppm.
constexpr double refill_margin = 0.00025;

/// A broker may use a share for this long after it sent the request that the holder answered. When
/// a broker dies, the organisations of its slots wait this long for tokens.
constexpr duration lease_duration = 1s;

/// A borrower may spend a loan for this long after it sent the request for it.
constexpr duration loan_lifetime = 150ms; // Demand is predicted for a few tens of milliseconds.

/// Extends `length` so that any other host's clock has measured at least `length` when it ends.
constexpr duration with_margin(duration length)
{
    return length + from_seconds(to_seconds(length) * timeout_margin) + 1us;
}

/// The slot of the organisation with key `key` (document/organisation).
inline std::size_t slot_of(std::string_view key)
{
    return stable_hash(key) % slot_count;
}

} // namespace chivevane
