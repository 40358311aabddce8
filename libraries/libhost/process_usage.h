#pragma once

#include <cstdint>

namespace chivevane {

/// Resource usage of this process.
struct process_usage {
    double m_processor_seconds = 0; ///< User and system time since the process started.
    std::uint64_t m_resident_bytes = 0;
};

/// Reads the usage from the operating system. Fields that cannot be read stay 0.
process_usage measure_process_usage();

} // namespace chivevane
