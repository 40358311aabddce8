#pragma once

#include "libadmin/latency_histogram.h"

#include <cstdint>
#include <map>

namespace chivevane {

/// What the shell counts since the process started.
struct host_counters {
    std::map<std::uint16_t, std::uint64_t> m_caller_answers; ///< By HTTP status.
    std::uint64_t m_caller_aborts = 0;  ///< Answers cut off because they could not be completed.
    latency_histogram m_caller_latency; ///< From the whole request to the end of the answer.
    std::uint64_t m_datagrams_received = 0;
    std::uint64_t m_datagrams_refused = 0; ///< Not authentic, malformed or too large.
    std::uint64_t m_datagrams_sent = 0;
    std::uint64_t m_datagram_bytes_sent = 0;
    std::uint64_t m_store_calls = 0;
    std::uint64_t m_store_failures = 0;
    double m_processor_seconds = 0;     ///< User and system time of the process.
    std::uint64_t m_resident_bytes = 0; ///< Memory of the process now.
};

} // namespace chivevane
