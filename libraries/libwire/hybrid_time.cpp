#include "libwire/hybrid_time.h"

#include <algorithm>

namespace chivevane {

hybrid_time next_hybrid_time(hybrid_time last, std::int64_t wall_ms)
{
    if (wall_ms > last.m_wall_ms) {
        return {wall_ms, 0};
    }
    return {last.m_wall_ms, last.m_counter + 1};
}

hybrid_time merge_hybrid_time(hybrid_time last, hybrid_time received, std::int64_t wall_ms)
{
    return next_hybrid_time(std::max(last, received), wall_ms);
}

} // namespace chivevane
