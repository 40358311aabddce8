#pragma once

#include "libdocument/api_key.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace chivevane {

/// The rate and the burst of an organisation that has no limit.
constexpr double unlimited_rate = std::numeric_limits<double>::infinity();

/// A customer with its API keys and its rate limit, which applies to all hosts together.
struct organisation {
    std::string m_name;
    double m_rate = 0;  ///< The rate limit in requests per second, or `unlimited_rate`.
    double m_burst = 0; ///< The number of requests that may start at once after a pause.
    std::vector<api_key> m_keys;
    std::optional<std::uint32_t> m_priority; ///< Overrides the priority of the route if set.

    bool operator==(const organisation&) const = default;
};

} // namespace chivevane
