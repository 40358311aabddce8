#pragma once

#include "libadmin/latency_histogram.h"

#include <cstdint>
#include <map>

namespace chivevane {

/// The counters and gauges that the host process updates outside the reducer. The counters start at
/// zero when the process starts.
struct host_counters {
    /// Responses to callers, by HTTP status.
    std::map<std::uint16_t, std::uint64_t> m_caller_answers;
    std::uint64_t m_caller_aborts = 0; ///< Responses cut off because they could not be completed.
    /// The time from the complete request to the end of the response.
    latency_histogram m_caller_latency;
    std::uint64_t m_datagrams_received = 0;
    /// Datagrams that were rejected as not authentic, malformed or too large.
    std::uint64_t m_datagrams_refused = 0;
    std::uint64_t m_datagrams_sent = 0;
    std::uint64_t m_datagram_bytes_sent = 0;
    std::uint64_t m_store_calls = 0;
    std::uint64_t m_store_failures = 0;
    double m_processor_seconds = 0;            ///< The user and system CPU time of the process.
    std::uint64_t m_resident_bytes = 0;        ///< The resident memory of the process now.
    std::uint64_t m_memory_capacity_bytes = 0; ///< Of the memory budget; 0 if there is none.
    std::uint64_t m_memory_reserved_bytes = 0; ///< Reserved from the memory budget now.
    std::uint64_t m_refused_bodies = 0;        ///< Requests refused for lack of memory.
    std::uint64_t m_evicted_bodies = 0;        ///< Stalled requests ended for lack of memory.
    std::uint64_t m_unbuffered_answers = 0;    ///< Answers passed on early for lack of memory.
    std::uint64_t m_closed_readers = 0;        ///< Stalled readers closed for lack of memory.
    std::uint64_t m_closed_connections = 0;    ///< Connections closed at a connection limit.
};

} // namespace chivevane
