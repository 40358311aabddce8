#include "libpolicy/admission/start_window.h"

#include <algorithm>

namespace chivevane::admission {

namespace {

/// A second and what delays on the way to the upstream may squeeze together.
constexpr duration span_of_window = 1020ms;

} // namespace

bool may_start(start_window& window, std::uint32_t limit, instant now)
{
    while (!window.m_starts.empty() && now - window.m_starts.front() >= span_of_window) {
        window.m_starts.pop_front();
    }
    return now >= window.m_blocked_until && window.m_starts.size() < limit;
}

void note_start(start_window& window, instant now)
{
    window.m_starts.push_back(now);
}

instant next_start(const start_window& window, std::uint32_t limit)
{
    if (window.m_starts.size() < limit || window.m_starts.empty()) {
        return window.m_blocked_until;
    }
    const auto oldest = window.m_starts[window.m_starts.size() - std::max(1U, limit)];
    return std::max(window.m_blocked_until, oldest + span_of_window);
}

} // namespace chivevane::admission
