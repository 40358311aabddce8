// chivevaned is the daemon that runs on each host beside its upstreams. See docs/OPERATIONS.md.

#include "libhost/run_daemon.h"

#include <cstdio>
#include <gflags/gflags.h>
#include <glog/logging.h>

DEFINE_string(settings, "", "file with the settings of this host (YAML)");
DEFINE_bool(check_settings, false, "check the settings, print every fault, and end");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("runs one host of the fleet; --settings=FILE is needed");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    FLAGS_logtostdout = true;
    FLAGS_log_prefix = false; // Each line is one event in key=value form.
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    google::InitGoogleLogging(argv[0]);
    if (FLAGS_check_settings) {
        return chivevane::check_settings(FLAGS_settings);
    }
    return chivevane::run_daemon(FLAGS_settings, chivevane::native_hooks());
}
