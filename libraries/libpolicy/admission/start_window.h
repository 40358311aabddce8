#pragma once

#include "libbase/instant.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace chivevane::admission {

/// The starts of the last second, so that no span of a second sees more than a given number.
struct start_window {
    std::deque<instant> m_starts; ///< Oldest first.
    instant m_blocked_until;      ///< Starts of an earlier process may count until then.
};

/// Whether one more may start now when at most `limit` of those after `since` may in any second.
bool may_start(start_window& window, std::uint32_t limit, instant since, instant now);

/// Starts of the last second that came after `since`.
std::size_t count_starts(start_window& window, instant since, instant now);

void note_start(start_window& window, instant now);

/// When one more may start; not after the present if it may at once.
instant next_start(const start_window& window, std::uint32_t limit, instant since);

} // namespace chivevane::admission
