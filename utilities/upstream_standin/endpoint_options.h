#pragma once

#include "libbase/instant.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chivevane {

/// One upstream that the stand-in plays.
struct endpoint_options {
    std::string m_endpoint;
    std::string m_service;
    std::string m_ip;
    std::uint16_t m_port = 0;
    std::uint16_t m_announce_port = 0; ///< Of the host's process, on the same IP number.
    std::uint32_t m_slots = 4;
    duration m_service_time = 5ms;
    std::uint32_t m_warm_after = 0; ///< Requests served until warm; 0 starts warm.
};

/// Reads the list of endpoints from a YAML file. Throws std::exception on a fault.
std::vector<endpoint_options> load_endpoints(const std::string& path);

} // namespace chivevane
