#pragma once

#include "libhost/platform_hooks.h"

#include <string>

namespace chivevane {

/// Runs one host with the settings in the file at `settings_path` until it is told to leave.
///
/// SIGTERM and SIGINT begin to leave, a second one ends at once. SIGHUP, or a change of the file
/// without it, takes over the settings that may change while the process runs. Returns the exit
/// code: 0, or 2 for faulty settings, or 3 if an address cannot be bound. Faults are printed to
/// standard error with their remedies.
int run_daemon(const std::string& settings_path, const platform_hooks& hooks);

/// Prints every fault of the settings, or that they are valid. Returns the exit code as above.
int check_settings(const std::string& settings_path);

} // namespace chivevane
