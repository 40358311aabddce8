#pragma once

#include "libbase/instant.h"

#include <cstddef>

namespace chivevane {

/// Limits on the size and the duration of callers' requests. A zero means that the limit in the
/// host's settings applies. Where several documents set a limit, the largest value applies.
struct caller_limits {
    std::size_t m_head_bytes = 0;
    std::size_t m_body_bytes = 0;
    /// The time from the first byte of a request to the end of its head.
    duration m_head_timeout{};
    duration m_idle_timeout{}; ///< The time that a connection may stay open without a request.

    bool operator==(const caller_limits&) const = default;
};

} // namespace chivevane
