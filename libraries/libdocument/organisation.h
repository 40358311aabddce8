#pragma once

#include "libdocument/api_key.h"

#include <string>
#include <vector>

namespace chivevane {

/// A customer with its keys and its limit over all hosts together.
struct organisation {
    std::string m_name;
    double m_rate = 0;  ///< Requests per second.
    double m_burst = 0; ///< Requests that may be started at once after a pause.
    std::vector<api_key> m_keys;

    bool operator==(const organisation&) const = default;
};

} // namespace chivevane
