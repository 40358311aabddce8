#pragma once

#include "libbase/instant.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chivevane {

/// Options of one simulated upstream.
struct endpoint_options {
    std::string m_endpoint;
    std::string m_service;
    std::string m_ip;
    std::uint16_t m_port = 0;
    std::uint16_t m_announce_port = 0; ///< Port of the host's process on the same IP.
    std::uint32_t m_slots = 4;
    duration m_service_time = 5ms;
    std::uint32_t m_warm_after = 0; ///< Number of served requests until warm; 0: warm at start.
};

/// Reads the list of endpoints from a YAML file. Throws std::exception if the file is missing or
/// invalid.
std::vector<endpoint_options> load_endpoints(const std::string& path);

} // namespace chivevane
