#pragma once

#include <compare>
#include <cstdint>

namespace chivevane {

/// A timestamp of a hybrid logical clock. It orders events across hosts consistently with causality
/// and stays close to the wall clock.
struct hybrid_time {
    std::int64_t m_wall_ms = 0;  ///< Milliseconds since the Unix epoch.
    std::uint32_t m_counter = 0; ///< Logical counter that orders events within a millisecond.

    auto operator<=>(const hybrid_time&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_wall_ms, m_counter);
    }
};

/// Returns the timestamp of the next local event on a host whose last timestamp was `last` and
/// whose wall clock shows `wall_ms`.
hybrid_time next_hybrid_time(hybrid_time last, std::int64_t wall_ms);

/// Returns the timestamp of the receipt of a message that carries the timestamp `received`.
hybrid_time merge_hybrid_time(hybrid_time last, hybrid_time received, std::int64_t wall_ms);

} // namespace chivevane
