#include "libpolicy/failed_calls.h"

#include <algorithm>
#include <cstddef>

namespace chivevane {

namespace {

constexpr std::size_t max_calls = 64; ///< More than an upstream has under way.

} // namespace

void note_failed_call(failed_calls& calls, instant now)
{
    calls.m_at.push_back(now);
    if (calls.m_at.size() > max_calls) {
        calls.m_at.pop_front();
    }
}

bool explain_failure(failed_calls& calls, instant began)
{
    const auto cause = std::find_if(calls.m_at.begin(), calls.m_at.end(),
                                    [began](instant each) { return each >= began; });
    if (cause == calls.m_at.end()) {
        return false;
    }
    calls.m_at.erase(cause);
    return true;
}

} // namespace chivevane
