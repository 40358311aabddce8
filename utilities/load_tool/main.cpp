// Sends an open-loop load to hosts on loopback and reports the outcome: one key=value line for each
// stream and, with --samples, one CSV line for each request.

#include "libload/load_generator.h"

#include <fstream>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <iostream>
#include <sstream>

DEFINE_string(plan, "", "YAML file with the plan; see libload/load_stream.h");
DEFINE_string(samples, "", "file for one CSV line per request; empty: none");

int main(int argc, char** argv)
{
    using namespace chivevane;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    std::ostringstream text;
    text << std::ifstream{FLAGS_plan}.rdbuf();
    const auto plan = parse_load_plan(text.str());
    if (is_error(plan)) {
        std::cerr << describe(error_of(plan)) << '\n';
        return 2;
    }
    std::vector<stream_report> reports;
    for (const auto& stream : value_of(plan).m_streams) {
        reports.push_back({stream.m_name});
    }
    std::ofstream samples;
    if (!FLAGS_samples.empty()) {
        samples.open(FLAGS_samples);
        samples << "scheduled_ms,stream,status,latency_ms,inside_rate,endpoint\n";
    }
    asio::io_context loop{1};
    http_client client{loop};
    load_generator generator{
        loop, client, value_of(plan), [&](std::size_t index, const load_sample& sample) {
            add_sample(reports[index], sample);
            if (samples.is_open()) {
                samples << to_milliseconds(sample.m_scheduled_after) << ',' << reports[index].m_name
                        << ',' << sample.m_status << ','
                        << static_cast<double>(sample.m_latency.count()) / 1000.0 << ','
                        << (sample.m_is_inside_rate ? 1 : 0) << ',' << sample.m_endpoint << '\n';
            }
        }};
    generator.start();
    loop.run();
    for (const auto& report : reports) {
        std::cout << to_line(report) << '\n';
    }
    return 0;
}
