#include "libpolicy/failed_upstream_calls.h"

#include <algorithm>
#include <cstddef>

namespace chivevane {

namespace {

/// An upstream has fewer calls in progress than this.
constexpr std::size_t max_recorded_calls = 64;

} // namespace

void record_failed_call(failed_upstream_calls& calls, instant now)
{
    calls.m_failed_at.push_back(now);
    if (calls.m_failed_at.size() > max_recorded_calls) {
        calls.m_failed_at.pop_front();
    }
}

bool consume_failed_call(failed_upstream_calls& calls, instant run_started_at)
{
    const auto cause =
        std::find_if(calls.m_failed_at.begin(), calls.m_failed_at.end(),
                     [run_started_at](instant failed_at) { return failed_at >= run_started_at; });
    if (cause == calls.m_failed_at.end()) {
        return false;
    }
    calls.m_failed_at.erase(cause);
    return true;
}

} // namespace chivevane
