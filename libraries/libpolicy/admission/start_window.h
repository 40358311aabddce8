#pragma once

#include "libbase/instant.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace chivevane::admission {

/// Sliding window over the starts of the last second, to limit the starts in any second.
struct start_window {
    std::deque<instant> m_starts; ///< Oldest first.
    instant m_blocked_until; ///< No start before; starts of the host's previous process may count.
};

/// Whether another attempt may start now, if of the starts after `since` at most `limit` may fall
/// in any second.
bool may_start(start_window& window, std::uint32_t limit, instant since, instant now);

/// Number of starts in the last second that came after `since`.
std::size_t count_starts(start_window& window, instant since, instant now);

void record_start(start_window& window, instant now);

/// When another attempt may start; a time not after now if it may start at once.
instant next_start(const start_window& window, std::uint32_t limit, instant since);

} // namespace chivevane::admission
