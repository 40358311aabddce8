// chivevaned: the process beside each upstream host. See docs/OPERATING.md.

#include "libbase/read_file.h"
#include "libhost/host_process.h"
#include "libsettings/parse_settings.h"

#include <asio/signal_set.hpp>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <iostream>

DEFINE_string(settings, "", "file with the settings of this host (YAML)");
DEFINE_bool(check_settings, false, "check the settings, print every fault, and end");

namespace {

using namespace chivevane;

constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_listen = 3;

std::variant<node_settings, std::vector<error>> load_settings(const std::string& path)
{
    const auto text = read_file(path);
    if (is_error(text)) {
        return std::vector{error_of(text)};
    }
    return parse_settings(value_of(text), read_file);
}

/// The first signal begins to leave; the second ends at once.
void wait_for_signal(asio::signal_set& signals, host_process& process)
{
    signals.async_wait([&](const asio::error_code& problem, int) {
        if (!problem) {
            process.request_leave();
            wait_for_signal(signals, process);
        }
    });
}

int run(node_settings settings)
{
    asio::io_context loop{1};
    try {
        host_process process{loop, std::move(settings)};
        process.open();
        asio::signal_set signals{loop, SIGINT, SIGTERM};
        wait_for_signal(signals, process);
        loop.run();
        return 0;
    }
    catch (const std::exception& problem) {
        std::cerr << "Cannot run: " << problem.what()
                  << " Remedy: check ip and ports in the settings.\n";
        return exit_cannot_listen;
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("runs one host of the fleet; --settings=FILE is needed");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    auto settings = load_settings(FLAGS_settings);
    if (const auto* faults = std::get_if<std::vector<error>>(&settings)) {
        for (const auto& fault : *faults) {
            std::cerr << describe(fault) << '\n';
        }
        return exit_bad_settings;
    }
    if (FLAGS_check_settings) {
        std::cout << "The settings are valid.\n";
        return 0;
    }
    FLAGS_minloglevel = static_cast<int>(std::get<node_settings>(settings).m_log_level);
    return run(std::get<node_settings>(std::move(settings)));
}
