#pragma once

#include "libbase/instant.h"

#include <boost/histogram.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace chivevane {

/// Latencies in milliseconds on a logarithmic axis from 0.1 ms to 100 s.
using latency_histogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>{}));

latency_histogram make_latency_histogram();

void add_latency(latency_histogram& histogram, duration latency);

/// The upper edge, in milliseconds, of the bin that holds the quantile `fraction` of 0 to 1; 0 for
/// an empty histogram.
double latency_quantile(const latency_histogram& histogram, double fraction);

/// How one request went.
struct load_sample {
    duration m_scheduled_after{}; ///< From the start of the load.
    duration m_latency{};         ///< From the scheduled moment to the end of the answer.
    std::uint16_t m_status = 0;   ///< 0: no whole answer.
    bool m_is_inside_rate = true; ///< The exact bucket had a token.
    std::string m_endpoint;       ///< From an answer of the upstream stand-in.
};

/// Totals of one stream.
struct stream_report {
    std::string m_name;
    std::uint64_t m_sent = 0;
    std::uint64_t m_succeeded = 0;
    std::uint64_t m_rate_refused = 0;         ///< 429.
    std::uint64_t m_refused_inside_rate = 0;  ///< 429 though the exact bucket had a token.
    std::uint64_t m_started_outside_rate = 0; ///< Not 429 though the exact bucket had none.
    std::uint64_t m_unavailable = 0;          ///< 503 or 504.
    std::uint64_t m_failed = 0;               ///< Any other status, or no whole answer.
    latency_histogram m_latencies = make_latency_histogram(); ///< Of the succeeded.
};

void add_sample(stream_report& report, const load_sample& sample);

/// The report as one line of key=value pairs.
std::string to_line(const stream_report& report);

} // namespace chivevane
