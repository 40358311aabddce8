#pragma once

#include "libbase/instant.h"

#include <chrono>

namespace chivevane {

/// Now, by the clock that never jumps.
inline instant current_time()
{
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

/// Milliseconds since 1970 by the wall clock, which may be set while the process runs.
inline std::int64_t current_wall_ms()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

} // namespace chivevane
