#pragma once

#include "libbase/instant.h"

#include <cstddef>

namespace chivevane {

/// What callers may send and how long they may take. Zero stands for what the settings of the host
/// say. Where several documents differ, the largest value holds.
struct caller_limits {
    std::size_t m_head_bytes = 0;
    std::size_t m_body_bytes = 0;
    duration m_head_timeout{}; ///< From the first byte of a request to the end of its head.
    duration m_idle_timeout{}; ///< Of a connection without a request.

    bool operator==(const caller_limits&) const = default;
};

} // namespace chivevane
