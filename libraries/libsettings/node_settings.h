#pragma once

#include "libpolicy/host_settings.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chivevane {

/// An IP number with a port.
struct ip_endpoint {
    std::string m_ip;
    std::uint16_t m_port = 0;

    bool operator==(const ip_endpoint&) const = default;
};

/// The least serious events that the log gets.
enum class log_level : std::uint8_t { info, warning, error };

/// All settings of one chivevaned.
struct node_settings {
    host_settings m_policy;  ///< Incarnation and random seed are left to the shell.
    std::string m_listen_ip; ///< Where all listeners bind; peers are told `m_policy.m_address`.
    std::uint16_t m_announce_port = 0; ///< TCP, where the local upstream announces itself.
    std::uint16_t m_ready_port = 0;    ///< TCP, whether this host takes requests; 0 means none.
    std::uint16_t m_metrics_port = 0;  ///< TCP, metrics without a token; 0 means none.
    /// Key of the store under which the hosts keep their shared secret; the first host makes it.
    /// Empty if the settings give the secret.
    std::string m_secret_key;
    std::vector<ip_endpoint> m_stores; ///< Addresses of the platform's store, tried in order.
    std::string m_operator_token;      ///< For the administration API; empty: it takes no orders.
    std::size_t m_max_head_size = 16'384;    ///< Bytes.
    std::size_t m_max_body_size = 1'048'576; ///< Bytes; a body is held whole in memory.
    std::size_t m_timeline_entries = 4'096;
    log_level m_log_level = log_level::info;
};

} // namespace chivevane
