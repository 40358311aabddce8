#pragma once

#include "libbase/instant.h"

#include <boost/histogram.hpp>

namespace chivevane {

/// A histogram of latencies from 0.1 ms to 100 s. The width of its buckets grows by a factor of
/// about 1.47.
class latency_histogram {
public:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using counts =
        decltype(boost::histogram::make_histogram(std::declval<const latency_histogram::axis&>()));

    latency_histogram() : m_counts{boost::histogram::make_histogram(axis{36, 1e-4, 100.0})} {}

    void record(duration latency)
    {
        m_counts(to_seconds(latency));
        m_sum_seconds += to_seconds(latency);
    }

    const counts& buckets() const { return m_counts; }
    double sum_seconds() const { return m_sum_seconds; }

private:
    counts m_counts;
    double m_sum_seconds = 0;
};

} // namespace chivevane
