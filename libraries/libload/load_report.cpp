#include "libload/load_report.h"

#include "libbase/log_line.h"

#include <fmt/format.h>

namespace chivevane {

namespace {

/// With this number of bins, the upper edge of each is 6% above its lower edge.
constexpr unsigned latency_bins = 240;
constexpr double min_latency_ms = 0.1;
constexpr double max_latency_ms = 100'000;

} // namespace

latency_histogram make_latency_histogram()
{
    namespace axis = boost::histogram::axis;
    return boost::histogram::make_histogram(
        axis::regular<double, axis::transform::log>{latency_bins, min_latency_ms, max_latency_ms});
}

void add_latency(latency_histogram& histogram, duration latency)
{
    histogram(static_cast<double>(latency.count()) / 1000.0);
}

double latency_quantile(const latency_histogram& histogram, double fraction)
{
    double total_count = 0;
    for (const double count : histogram) {
        total_count += count;
    }
    double cumulative_count = 0;
    const auto& axis = histogram.axis();
    for (int bin = -1; bin <= axis.size(); ++bin) {
        cumulative_count += histogram.at(bin);
        if (total_count > 0 && cumulative_count >= fraction * total_count) {
            return axis.bin(std::min(bin, axis.size() - 1)).upper();
        }
    }
    return 0;
}

void add_sample(stream_report& report, const load_sample& sample)
{
    ++report.m_sent;
    const bool is_rate_refused = sample.m_status == 429;
    if (is_rate_refused) {
        ++report.m_rate_refused;
        report.m_refused_inside_rate += sample.m_is_inside_rate ? 1 : 0;
        return;
    }
    report.m_started_outside_rate += sample.m_is_inside_rate ? 0 : 1;
    if (sample.m_status >= 200 && sample.m_status < 400) {
        ++report.m_succeeded;
        add_latency(report.m_latencies, sample.m_latency);
    }
    else if (sample.m_status == 503 || sample.m_status == 504) {
        ++report.m_unavailable;
    }
    else {
        ++report.m_failed;
    }
}

std::string to_line(const stream_report& report)
{
    log_line line{"stream"};
    line.add("name", report.m_name)
        .add("sent", report.m_sent)
        .add("succeeded", report.m_succeeded)
        .add("rate_refused", report.m_rate_refused)
        .add("refused_inside_rate", report.m_refused_inside_rate)
        .add("started_outside_rate", report.m_started_outside_rate)
        .add("unavailable", report.m_unavailable)
        .add("failed", report.m_failed);
    for (const double fraction : {0.5, 0.9, 0.99}) {
        line.add(fmt::format("p{:.0f}_ms", fraction * 100),
                 std::string_view{
                     fmt::format("{:.2f}", latency_quantile(report.m_latencies, fraction))});
    }
    return line.text();
}

} // namespace chivevane
