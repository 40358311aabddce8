#pragma once

#include "libbase/instant.h"

#include <deque>
#include <optional>

namespace chivevane::admission {

/// Limit on the rate of starts that an upstream has named for itself: a token bucket. While there
/// is no limit, the latest starts are remembered, as they count once one is named.
struct start_rate_limit {
    std::optional<double> m_rate; ///< Starts per second; empty without a limit.
    double m_tokens = 0;          ///< Starts allowed at `m_refilled_at`; may be negative.
    instant m_refilled_at;
    std::deque<instant> m_recent_starts; ///< Oldest first.
};

/// Sets the limit in starts per second, or removes it.
void set_rate(start_rate_limit& limit, std::optional<double> rate, instant now);

bool may_start(start_rate_limit& limit, instant now);

void record_start(start_rate_limit& limit, instant now);

/// When the next start is allowed; a time not after now if it is allowed at once.
instant next_start(const start_rate_limit& limit);

/// How long `ahead` starts and one more take at the limit.
duration time_for_starts(const start_rate_limit& limit, std::int64_t ahead);

} // namespace chivevane::admission
