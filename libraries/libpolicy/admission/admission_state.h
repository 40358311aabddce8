#pragma once

#include "libpolicy/admission/concurrency_limit.h"
#include "libpolicy/admission/fair_queue.h"
#include "libpolicy/admission/queued_attempt.h"
#include "libpolicy/admission/start_window.h"
#include "libwire/upstream_summary.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace chivevane {

/// What an upstream bears while it is cold. Zeros if it is not told.
struct cold_bounds {
    double m_rate = 0; ///< Starts per second that it is given.
    double m_most = 0; ///< Starts in any second that do no harm yet.
};

/// Admission to one upstream.
struct upstream_admission {
    admission::concurrency_limit m_limit;
    upstream_warmth m_announced = upstream_warmth::cold;
    std::uint32_t m_running = 0;
    double m_mean_run_s = 0; ///< Of all attempts, recent ones weighing more; 0 while unknown.
    cold_bounds m_cold;
    /// It was surely warm then, so earlier starts did no harm. Later it may have become cold.
    instant m_confirmed_warm_at = instant::min();
    admission::start_window m_starts;
    admission::fair_queue m_queue;
};

/// Admission to all upstreams of this host.
struct admission_state {
    std::map<std::string, upstream_admission, std::less<>> m_upstreams; ///< By endpoint.
};

} // namespace chivevane
