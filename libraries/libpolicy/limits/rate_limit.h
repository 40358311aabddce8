#pragma once

namespace chivevane {

/// Rate limit of one organisation over all hosts together: at most `m_burst` + `m_rate` x T
/// requests may start in any window of T seconds.
struct rate_limit {
    double m_rate = 0;  ///< Requests per second.
    double m_burst = 0; ///< Bucket capacity, in requests.

    bool operator==(const rate_limit&) const = default;
};

} // namespace chivevane
