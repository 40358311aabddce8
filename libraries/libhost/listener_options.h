#pragma once

#include "libhttp/http_server.h"
#include "libhttp/memory_budget.h"
#include "libhttp/traffic_server.h"
#include "libsettings/daemon_settings.h"

#include <cstddef>
#include <cstdint>
#include <memory>

/// The limits of the listeners of a host. Connection limits, and the limits of the small listeners,
/// apply only if the settings limit the memory.
namespace chivevane {

/// Returns the limit of open file descriptors of this process.
std::size_t open_file_limit();

/// Returns the options of the listener for callers. It may use one half of the descriptors.
traffic_server_options caller_options(const daemon_settings& settings, std::size_t descriptors,
                                      std::shared_ptr<memory_budget> memory);

/// Returns the options of the listener for other hosts. It may use a quarter of the descriptors.
traffic_server_options gate_options(const daemon_settings& settings, std::size_t descriptors,
                                    std::shared_ptr<memory_budget> memory);

/// Returns how many requests may run at once on an upstream of this host, so that the connections
/// to it leave descriptors for others.
std::uint32_t max_upstream_slots(const daemon_settings& settings, std::size_t descriptors);

/// Returns the options of the administration API. Its bodies may have the largest size of a
/// document, even if bodies of callers are limited to less, so that an operator can submit any
/// document.
http_server_options admin_options(const daemon_settings& settings);

/// Returns the options of the listener for announcements of upstreams.
http_server_options announcement_options(const daemon_settings& settings, std::size_t descriptors);

/// Returns the options of the readiness listener, whose requests have no body.
http_server_options readiness_options(const daemon_settings& settings, std::size_t descriptors);

/// Returns the options of the metrics listener, whose requests have no body.
http_server_options metrics_options(const daemon_settings& settings, std::size_t descriptors);

} // namespace chivevane
