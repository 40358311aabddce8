#pragma once

#include "libhost/platform_hooks.h"

#include <string>

namespace chivevane {

/// Runs one host with the settings in the file at `settings_path` until it is requested to shut
/// down.
///
/// SIGTERM and SIGINT start a graceful shutdown, and a second one shuts down at once. On SIGHUP, or
/// when the file changes, the settings that may change while the process runs are reloaded. Returns
/// the exit code, which is 0, or 2 for invalid settings, or 3 if an address cannot be bound. Errors
/// are printed to standard error with their remedies.
int run_daemon(const std::string& settings_path, const platform_hooks& hooks);

/// Validates the settings and prints every error, or that the settings are valid. Returns the exit
/// code, which is 0, or 2 for invalid settings.
int check_settings(const std::string& settings_path);

} // namespace chivevane
