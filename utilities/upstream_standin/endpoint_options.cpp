#include "endpoint_options.h"

#include <yaml-cpp/yaml.h>

namespace chivevane {

std::vector<endpoint_options> load_endpoints(const std::string& path)
{
    std::vector<endpoint_options> endpoints;
    for (const auto& node : YAML::LoadFile(path)) {
        endpoint_options options;
        options.m_endpoint = node["endpoint"].as<std::string>();
        options.m_service = node["service"].as<std::string>();
        options.m_ip = node["ip"].as<std::string>();
        options.m_port = node["port"].as<std::uint16_t>();
        options.m_announce_port = node["announce_port"].as<std::uint16_t>();
        options.m_slots = node["slots"].as<std::uint32_t>(options.m_slots);
        options.m_service_time = from_seconds(node["service_time_ms"].as<double>(5.0) / 1000.0);
        options.m_warm_after = node["warm_after"].as<std::uint32_t>(0);
        endpoints.push_back(std::move(options));
    }
    return endpoints;
}

} // namespace chivevane
