#pragma once

namespace chivevane {

/// What one organisation may start over all hosts together: at most `m_burst` + `m_rate` x T
/// requests in every window of T seconds.
struct rate_limit {
    double m_rate = 0;  ///< Requests per second.
    double m_burst = 0; ///< Requests.

    bool operator==(const rate_limit&) const = default;
};

} // namespace chivevane
