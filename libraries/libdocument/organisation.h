#pragma once

#include "libdocument/api_key.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace chivevane {

/// The rate of an organisation without a limit.
constexpr double unlimited_rate = std::numeric_limits<double>::infinity();

/// A customer with its keys and its limit over all hosts together.
struct organisation {
    std::string m_name;
    double m_rate = 0;  ///< Requests per second, or `unlimited_rate`.
    double m_burst = 0; ///< Requests that may be started at once after a pause.
    std::vector<api_key> m_keys;
    std::optional<std::uint32_t> m_priority; ///< Goes before the priority of the route.

    bool operator==(const organisation&) const = default;
};

} // namespace chivevane
