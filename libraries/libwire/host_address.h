#pragma once

#include <cstdint>
#include <string>

namespace chivevane {

/// Network address of a host: its IP address and the ports of its listeners.
struct host_address {
    std::string m_ip;
    std::uint16_t m_control_port = 0; ///< UDP port for messages between hosts.
    std::uint16_t m_gate_port = 0;    ///< TCP port for requests forwarded by other hosts.
    std::uint16_t m_caller_port = 0;  ///< TCP port for requests from callers.
    std::uint16_t m_admin_port = 0;   ///< TCP port of the administration API.

    auto operator<=>(const host_address&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_ip, m_control_port, m_gate_port, m_caller_port, m_admin_port);
    }
};

} // namespace chivevane
