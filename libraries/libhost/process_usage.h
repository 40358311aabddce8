#pragma once

#include <cstdint>

namespace chivevane {

/// What this process uses of the machine.
struct process_usage {
    double m_processor_seconds = 0; ///< User and system time since it started.
    std::uint64_t m_resident_bytes = 0;
};

/// Asks the system; fields that it does not give stay 0.
process_usage measure_process_usage();

} // namespace chivevane
