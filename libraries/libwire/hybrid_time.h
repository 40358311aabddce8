#pragma once

#include <compare>
#include <cstdint>

namespace chivevane {

/// A hybrid logical clock reading: orders events over hosts so that every cause comes before its
/// effects, and stays close to the wall clock.
struct hybrid_time {
    std::int64_t m_wall_ms = 0;  ///< Milliseconds since the Unix epoch.
    std::uint32_t m_counter = 0; ///< Orders events within a millisecond.

    auto operator<=>(const hybrid_time&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_wall_ms, m_counter);
    }
};

/// The next reading on a host whose last reading was `last` and whose wall clock shows `wall_ms`.
hybrid_time next_reading(hybrid_time last, std::int64_t wall_ms);

/// The next reading after a message stamped `received` came in.
hybrid_time merge_reading(hybrid_time last, hybrid_time received, std::int64_t wall_ms);

} // namespace chivevane
