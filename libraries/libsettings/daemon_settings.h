#pragma once

#include "libpolicy/host_settings.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chivevane {

/// An IP address with a port.
struct ip_endpoint {
    std::string m_ip;
    std::uint16_t m_port = 0;

    bool operator==(const ip_endpoint&) const = default;
};

/// Minimum severity of events that are written to the log.
enum class log_level : std::uint8_t { info, warning, error };

/// All settings of a chivevaned process.
struct daemon_settings {
    host_settings m_policy;  ///< Settings of the state machine. The caller of `parse_settings` sets
                             ///< the incarnation and the random seed.
    std::string m_listen_ip; ///< IP address that all listeners bind to. The address advertised to
                             ///< other hosts is `m_policy.m_address`.
    std::uint16_t m_announce_port = 0;  ///< TCP port where local upstreams announce themselves.
    std::uint16_t m_readiness_port = 0; ///< TCP port of the readiness check; 0 disables it.
    std::uint16_t m_metrics_port = 0;   ///< TCP port that serves metrics without authentication;
                                        ///< 0 disables it.
    /// Key in the store that holds the secret shared by all hosts. The first host generates the
    /// secret. Empty if the settings contain the secret.
    std::string m_shared_secret_store_key;
    /// Addresses of the platform's store, tried in this order.
    std::vector<ip_endpoint> m_store_endpoints;
    std::string m_operator_token; ///< Token that authorises operators in the administration API.
                                  ///< If it is empty, no token is accepted.
    std::size_t m_max_head_size = 16'384; ///< Maximum size of the head of an HTTP message in bytes.
    std::size_t m_max_body_size = 1'048'576; ///< Maximum size of a body in bytes. A whole body is
                                             ///< held in memory.
    std::size_t m_timeline_entries = 4'096;  ///< Number of events kept in the timeline.
    log_level m_log_level = log_level::info;
    /// Memory that the machine gives the process, in MB; 0 means that no memory budget applies.
    std::size_t m_memory_limit_mb = 0;
};

} // namespace chivevane
