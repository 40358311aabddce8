#pragma once

#include "libbase/instant.h"

#include <cstdint>
#include <string_view>

namespace chivevane {

/// Bounds the lines that a host writes to its log in one second.
struct log_limit {
    instant m_second_began;
    std::uint64_t m_lines = 0;    ///< Written in this second.
    std::uint64_t m_left_out = 0; ///< Left out in this second.
};

/// Whether one more line may be written at `now`; counts it. The first line after a second in which
/// some were left out is preceded by one that tells how many `host` left out.
bool take_log_line(log_limit& limit, instant now, std::string_view host);

} // namespace chivevane
