#pragma once

#include "libbase/instant.h"
#include "libbase/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chivevane {

/// How the requests of a stream are spread over the targets.
enum class target_choice : std::uint8_t {
    spread, ///< Each request to a random target.
    single, ///< All to the first target.
    moving, ///< All to one target, another one each second.
};

/// One source of requests with its own rate: an organisation on one route.
struct load_stream {
    std::string m_name;
    std::string m_key; ///< Empty on open routes.
    std::string m_method = "GET";
    std::string m_path = "/";
    double m_rate = 1; ///< Requests per second; arrivals are a Poisson process.
    target_choice m_targets = target_choice::spread;
    double m_limit_rate = 0;  ///< The organisation's rate; 0: none is checked.
    double m_limit_burst = 0; ///< The organisation's burst.
};

/// Where a load goes and for how long.
struct load_plan {
    std::vector<std::string> m_targets; ///< ip:port of the hosts' caller listeners.
    std::vector<load_stream> m_streams;
    duration m_length{};
    std::uint64_t m_seed = 1;
};

/// Reads a plan from YAML: targets, seconds, seed, streams{name,key,method,path,rate,targets,
/// limit_rate,limit_burst}. Only loopback targets are allowed.
result<load_plan> parse_load_plan(std::string_view text);

} // namespace chivevane
