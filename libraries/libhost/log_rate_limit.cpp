#include "libhost/log_rate_limit.h"

#include "libbase/log_line.h"

namespace chivevane {

namespace {

/// An operator cannot read more than this, and a small processor writes it with little load.
constexpr std::uint64_t max_lines_per_second = 200;

} // namespace

bool allow_log_line(log_rate_limit& limit, instant now, std::string_view host)
{
    if (now - limit.m_window_start >= duration{1s}) {
        if (limit.m_suppressed_lines > 0) {
            write_log(log_line{"log-lines-left-out"}
                          .add("host", host)
                          .add("count", limit.m_suppressed_lines));
        }
        limit = {now};
    }
    if (limit.m_written_lines >= max_lines_per_second) {
        ++limit.m_suppressed_lines;
        return false;
    }
    ++limit.m_written_lines;
    return true;
}

} // namespace chivevane
