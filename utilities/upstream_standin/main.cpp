// Simulates many upstreams in one process. standin_endpoint.h describes what they serve.

#include "endpoint_options.h"
#include "standin_endpoint.h"

#include <asio/signal_set.hpp>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <iostream>
#include <list>

DEFINE_string(endpoints, "", "YAML file with the list of endpoints");
DEFINE_uint64(seed, 1, "seed of all random choices");

int main(int argc, char** argv)
{
    using namespace chivevane;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    asio::io_context loop{1};
    http_client client{loop};
    std::uint64_t last_exchange = 0;
    std::list<standin_endpoint> endpoints;
    try {
        auto seed = FLAGS_seed;
        for (auto& options : load_endpoints(FLAGS_endpoints)) {
            endpoints.emplace_back(loop, client, std::move(options), last_exchange, ++seed);
        }
    }
    catch (const std::exception& problem) {
        std::cerr << "Cannot run: " << problem.what() << '\n';
        return 2;
    }
    asio::signal_set signals{loop, SIGINT, SIGTERM};
    signals.async_wait([&](const asio::error_code&, int) {
        for (auto& endpoint : endpoints) {
            endpoint.close();
        }
        loop.stop();
    });
    loop.run();
    return 0;
}
