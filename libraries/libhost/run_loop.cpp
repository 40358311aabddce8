#include "libhost/run_loop.h"

#include "libbase/log_line.h"

namespace chivevane {

void run_loop(asio::io_context& loop)
{
    for (;;) {
        try {
            loop.run();
            return;
        }
        catch (const std::exception& problem) {
            log_failed_handler(problem);
        }
    }
}

void log_failed_handler(const std::exception& problem)
{
    write_warning(log_line{"handler-failed"}.add("reason", problem.what()));
}

} // namespace chivevane
