#pragma once

#include "libpolicy/admission/concurrency_limit.h"
#include "libpolicy/admission/fair_queue.h"
#include "libpolicy/admission/load_shedding.h"
#include "libpolicy/admission/queued_attempt.h"
#include "libpolicy/admission/start_rate_limit.h"
#include "libpolicy/admission/start_window.h"
#include "libpolicy/host_settings.h"
#include "libwire/upstream_summary.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace chivevane {

/// Start rates that an upstream tolerates while it is cold. Both are zero if they are not
/// configured.
struct cold_bounds {
    double m_start_rate = 0;     ///< Starts per second for an upstream announced as cold.
    double m_max_start_rate = 0; ///< Most starts in any second that do not harm a cold upstream.
};

/// An attempt that was removed from its queue to be refused.
struct shed_attempt {
    queued_attempt m_attempt;
    load_shedding::shed_cause m_cause = load_shedding::shed_cause::late;
};

/// Admission state of one upstream.
struct upstream_admission {
    admission::concurrency_limit m_limit;
    warm_up_state m_announced = warm_up_state::cold; ///< Last announced, or cold by a check.
    std::uint32_t m_running = 0;                     ///< Admitted attempts that have not ended.
    double m_mean_run_s = 0; ///< Moving average of the run times in seconds; 0 while unknown.
    cold_bounds m_cold_bounds;
    /// The upstream was confirmed warm at some moment not before this one. Starts up to it did no
    /// harm. The upstream may have become cold since.
    instant m_confirmed_warm_at = instant::min();
    admission::start_window m_starts;            ///< Used only with a configured start rate.
    admission::start_rate_limit m_accepted_rate; ///< The limit that the upstream named.
    admission::fair_queue m_queue;
    std::uint32_t m_refused_priority = 0;  ///< The most urgent priority refused for a long queue.
    instant m_refused_at = instant::min(); ///< When an attempt of `m_refused_priority` was refused.
    std::vector<shed_attempt> m_shed;      ///< Removed from the queue, and not yet refused.
    instant m_next_plan;                   ///< When the queue is next planned anew.
};

/// What tells how many requests a warm upstream without a configured start rate runs at once.
enum class limit_basis : std::uint8_t {
    answers,      ///< Its answers alone, from one request upwards.
    announcement, ///< The slots that it announces, less what refusals and a risen latency show.
};

/// Admission state of all upstreams of this host.
struct admission_state {
    std::map<std::string, upstream_admission, std::less<>> m_upstreams; ///< By endpoint.
    limit_basis m_limit_basis = limit_basis::answers;
    overload_policy m_overload = overload_policy::priority;
    /// Attempts that were refused after they were queued, by `load_shedding::shed_cause`.
    std::array<std::uint64_t, load_shedding::shed_cause_count> m_shed_counts{};
};

} // namespace chivevane
