#pragma once

#include <string>

namespace chivevane {

/// The configuration of one service, which a set of upstreams provides.
struct service_policy {
    std::string m_name;
    double m_floor = 0.5; ///< The share of the capacity, 0 to 1, that ejection must leave in use.
    /// Requests per second that an upstream can serve while it is cold. Zero means unset: the gate
    /// then estimates the rate from the upstream's responses.
    double m_cold_rate = 0;
    /// The path of the GET request that probes whether a busy upstream is still warm. Empty means
    /// unset: the upstream is then not probed.
    std::string m_health_path;

    bool operator==(const service_policy&) const = default;
};

} // namespace chivevane
