#include "libhost/process_usage.h"

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace chivevane {

process_usage measure_process_usage()
{
    process_usage usage;
    rusage times{};
    if (getrusage(RUSAGE_SELF, &times) == 0) {
        constexpr double microsecond = 1e-6;
        usage.m_processor_seconds =
            static_cast<double>(times.ru_utime.tv_sec + times.ru_stime.tv_sec) +
            static_cast<double>(times.ru_utime.tv_usec + times.ru_stime.tv_usec) * microsecond;
    }
    std::uint64_t total_pages = 0;
    std::uint64_t resident_pages = 0;
    if (std::ifstream{"/proc/self/statm"} >> total_pages >> resident_pages) {
        usage.m_resident_bytes = resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    }
    return usage;
}

} // namespace chivevane
