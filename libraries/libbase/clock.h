#pragma once

#include "libbase/instant.h"

#include <chrono>

namespace chivevane {

/// Returns the current time of the monotonic clock.
inline instant current_time()
{
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

/// Returns the wall-clock time in milliseconds since the Unix epoch. The wall clock may be adjusted
/// while the process runs.
inline std::int64_t current_wall_ms()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

} // namespace chivevane
