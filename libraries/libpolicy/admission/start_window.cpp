#include "libpolicy/admission/start_window.h"

#include <algorithm>

namespace chivevane::admission {

namespace {

/// One second, plus a margin because varying delays on the way to the upstream can bring starts
/// closer together.
constexpr duration window_length = 1020ms;

std::size_t count_after(const start_window& window, instant since)
{
    const auto& starts = window.m_starts;
    return static_cast<std::size_t>(starts.end() -
                                    std::upper_bound(starts.begin(), starts.end(), since));
}

} // namespace

bool may_start(start_window& window, std::uint32_t limit, instant since, instant now)
{
    return now >= window.m_blocked_until && count_starts(window, since, now) < limit;
}

std::size_t count_starts(start_window& window, instant since, instant now)
{
    while (!window.m_starts.empty() && now - window.m_starts.front() >= window_length) {
        window.m_starts.pop_front();
    }
    return count_after(window, since);
}

void record_start(start_window& window, instant now)
{
    window.m_starts.push_back(now);
}

instant next_start(const start_window& window, std::uint32_t limit, instant since)
{
    if (count_after(window, since) < limit || window.m_starts.empty()) {
        return window.m_blocked_until;
    }
    const auto oldest = window.m_starts[window.m_starts.size() - std::max(1U, limit)];
    return std::max(window.m_blocked_until, oldest + window_length);
}

} // namespace chivevane::admission
