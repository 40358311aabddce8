#pragma once

#include "libpolicy/health/cusum_tests.h"
#include "libpolicy/health/evidence_exchange.h"
#include "libpolicy/health/health_status.h"
#include "libpolicy/health/path_health.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chivevane {

namespace health {

/// Evidence from all hosts on one upstream on one route.
struct route_record {
    evidence_window m_window;
    evidence_delta m_pending; ///< Answers that the next evaluation adds to the window.
    cusum_tests m_tests;
};

/// Counts of answers from one upstream, as reported by all hosts, since the first such report.
struct answer_totals {
    std::uint64_t m_requests = 0; ///< Includes the failures.
    std::uint64_t m_failures = 0;
};

/// The upstream's tests demand an ejection, which must be confirmed before it takes effect.
struct pending_ejection {
    instant m_since;
    instant m_last_supported_at; ///< When an evaluation last demanded the ejection.
    /// The totals of the other upstreams of the service at `m_since`.
    std::map<upstream_id, answer_totals> m_peer_totals;
};

/// Evidence from all hosts on one upstream, and its health status.
struct upstream_record {
    std::string m_service;
    std::map<std::string, route_record, std::less<>> m_routes; ///< Keyed by route name.
    cusum_tests m_tests; ///< The tests over the answers of all routes together.
    answer_totals m_totals;
    std::optional<pending_ejection> m_pending_ejection;
    /// The largest share of recent answers, 0 to 1, that showed a symptom beyond what the peers
    /// show. It is updated while the tests demand an ejection and by answers while ejected.
    double m_excess = 0;
    ejection_state m_ejection;
    bool m_is_datacentre_out = false; ///< A document takes its data centre out of use.
    /// The capacity floor keeps the upstream in full use although it is not healthy.
    bool m_is_kept_by_floor = false;
    instant m_announced_at; ///< When a usable member last announced it.
};

/// Latency thresholds of one route, derived from its recent latency.
struct route_latency {
    duration m_slow_threshold = duration::max();   ///< A multiple of the median latency.
    duration m_adaptive_timeout = duration::max(); ///< A multiple of the 99th percentile.
};

/// Traffic and latency of one service over all its upstreams.
struct service_record {
    double m_answers_per_second = 0; ///< Moving average.
    std::uint32_t m_pending = 0;     ///< Answers since the last evaluation.
    double m_trial_share = 1;        ///< Share of its fair load that an upstream on trial gets.
    std::map<std::string, route_latency, std::less<>> m_routes; ///< Keyed by route name.
};

} // namespace health

/// Outlier detection: the evidence on all upstreams, and the health status derived from it.
struct health_state {
    health::evidence_outbox m_outbox;
    health::evidence_inbox m_inbox;
    health::path_health m_paths;
    std::map<upstream_id, health::upstream_record> m_upstreams;
    std::map<std::string, health::service_record, std::less<>> m_services; ///< Keyed by name.
    /// The reports that this host sent last. They are merged only when the next ones are sent: if
    /// this host's evidence were ahead of that of the other hosts, a fault that affects all
    /// upstreams would look like a fault of this host's own upstream.
    std::vector<health_report> m_own_reports;
    instant m_now; ///< The time of the latest event, for queries without a time argument.
    instant m_next_evaluation;
    instant m_next_report;
};

} // namespace chivevane
