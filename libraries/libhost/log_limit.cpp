#include "libhost/log_limit.h"

#include "libbase/log_line.h"

namespace chivevane {

namespace {

/// More than an operator reads, and little for a small processor.
constexpr std::uint64_t max_lines_per_second = 200;

} // namespace

bool take_log_line(log_limit& limit, instant now, std::string_view host)
{
    if (now - limit.m_second_began >= duration{1s}) {
        if (limit.m_left_out > 0) {
            write_log(
                log_line{"log-lines-left-out"}.add("host", host).add("count", limit.m_left_out));
        }
        limit = {now};
    }
    if (limit.m_lines >= max_lines_per_second) {
        ++limit.m_left_out;
        return false;
    }
    ++limit.m_lines;
    return true;
}

} // namespace chivevane
