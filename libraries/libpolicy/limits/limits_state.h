#pragma once

#include "libbase/instant.h"
#include "libpolicy/limits/rate_limit.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace chivevane {

/// The tokens of one organisation on this host.
struct local_bucket {
    rate_limit m_limit; ///< Of the organisation over all hosts.
    double m_tokens = 0;
    instant m_filled_at;
};

/// The limits of all organisations on this host.
struct limits_state {
    std::map<std::string, local_bucket, std::less<>> m_buckets; ///< By organisation key.
};

} // namespace chivevane
