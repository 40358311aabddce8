#pragma once

#include "libbase/instant.h"

#include <boost/histogram.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace chivevane {

/// A histogram of latencies in milliseconds, on a logarithmic axis from 0.1 ms to 100 s.
using latency_histogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>{}));

latency_histogram make_latency_histogram();

void add_latency(latency_histogram& histogram, duration latency);

/// Returns the upper edge, in milliseconds, of the bin that holds the quantile `fraction` (0 to 1),
/// or 0 if the histogram is empty.
double latency_quantile(const latency_histogram& histogram, double fraction);

/// The outcome of one request.
struct load_sample {
    duration m_scheduled_after{}; ///< The scheduled time, since the start of the load.
    duration m_latency{};         ///< The time from m_scheduled_after to the response's end.
    std::uint16_t m_status = 0;   ///< The status is 0 without a complete response.
    bool m_is_inside_rate = true; ///< A token was left, or no limit is checked.
    std::string m_endpoint;       ///< The stand-in endpoint that answered, if it was one.
};

/// The request counts and latencies of a stream.
struct stream_report {
    std::string m_name;
    std::uint64_t m_sent = 0;
    std::uint64_t m_succeeded = 0;
    std::uint64_t m_rate_refused = 0;         ///< These requests got status 429.
    std::uint64_t m_refused_inside_rate = 0;  ///< These got 429 within the rate.
    std::uint64_t m_started_outside_rate = 0; ///< These did not get 429 beyond it.
    std::uint64_t m_unavailable = 0;          ///< These got 503 or 504.
    std::uint64_t m_failed = 0;               ///< These got another status or none.
    /// The latencies of the requests that succeeded.
    latency_histogram m_latencies = make_latency_histogram();
};

void add_sample(stream_report& report, const load_sample& sample);

/// Formats a report as one line of key=value pairs.
std::string to_line(const stream_report& report);

} // namespace chivevane
