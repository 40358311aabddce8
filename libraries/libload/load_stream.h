#pragma once

#include "libbase/instant.h"
#include "libbase/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chivevane {

/// How a stream chooses the target of each request.
enum class target_choice : std::uint8_t {
    spread, ///< Each request goes to a random target.
    single, ///< All requests go to the first target.
    moving, ///< All requests go to one target, which changes each second.
};

/// A source of requests with its own rate, such as an organisation that uses one route.
struct load_stream {
    std::string m_name;
    std::string m_key; ///< The API key, or empty for routes that are open to all.
    std::string m_method = "GET";
    std::string m_path = "/";
    double m_rate = 1; ///< The mean requests per second of a Poisson process.
    target_choice m_target_choice = target_choice::spread;
    double m_limit_rate = 0;  ///< The organisation's rate limit; 0 disables the check.
    double m_limit_burst = 0; ///< The organisation's burst limit, in requests.
};

/// The targets, streams and duration of a load.
struct load_plan {
    std::vector<std::string> m_targets; ///< The caller listeners of the hosts, as ip:port.
    std::vector<load_stream> m_streams;
    duration m_duration{};
    std::uint64_t m_seed = 1;
};

/// Reads a plan from YAML with the fields targets, seconds, seed and streams{name,key,method,path,
/// rate,targets,limit_rate,limit_burst}. Only loopback targets are allowed.
result<load_plan> parse_load_plan(std::string_view text);

} // namespace chivevane
