#pragma once

#include "libbase/instant.h"

#include <cstdint>
#include <string_view>

namespace chivevane {

/// Limits the number of lines that a host writes to its log in each window of one second.
struct log_rate_limit {
    instant m_window_start;
    std::uint64_t m_written_lines = 0;    ///< Lines written in the current window.
    std::uint64_t m_suppressed_lines = 0; ///< Lines suppressed in the current window.
};

/// Returns whether one more line may be written at `now`, and counts the line as written or
/// suppressed. When a window with suppressed lines is over, the next call first writes a line with
/// `host` and their number.
bool allow_log_line(log_rate_limit& limit, instant now, std::string_view host);

} // namespace chivevane
