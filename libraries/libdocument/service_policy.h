#pragma once

#include <string>

namespace chivevane {

/// What the document says about one service of upstreams.
struct service_policy {
    std::string m_name;
    double m_floor = 0.5; ///< Share of the capacity that ejection must leave in use, 0 to 1.
    /// Requests per second that an upstream bears while it is cold. Zero if it is not told: then
    /// the gate learns from its answers what the upstream bears.
    double m_cold_rate = 0;
    /// Path of a GET by which a busy upstream is asked whether it is still warm. Empty if it is not
    /// told: then it is not asked.
    std::string m_health_path;

    bool operator==(const service_policy&) const = default;
};

} // namespace chivevane
