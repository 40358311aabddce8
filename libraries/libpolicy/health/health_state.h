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

/// Pooled evidence on one upstream on one route.
struct route_record {
    evidence_window m_window;
    evidence_delta m_pending; ///< Not judged yet.
    suspicion m_tests;
};

/// Answers that were pooled since this host knows an upstream.
struct answer_totals {
    std::uint64_t m_requests = 0;
    std::uint64_t m_failures = 0;
};

/// A suspicion that waits for its confirmation.
struct doubt {
    instant m_since;                              ///< When it arose.
    instant m_renewed_at;                         ///< When the evidence last gave cause for it.
    std::map<upstream_id, answer_totals> m_peers; ///< Until then.
};

/// Pooled evidence on one upstream and where it stands.
struct upstream_record {
    std::string m_service;
    std::map<std::string, route_record, std::less<>> m_routes;
    suspicion m_tests; ///< Over all routes together.
    answer_totals m_totals;
    std::optional<doubt> m_doubt;
    double m_excess = 0; ///< How bad it was when it was last suspected, 0 to 1.
    standing_record m_standing;
    bool m_is_out = false;         ///< Its data centre is out.
    bool m_is_kept_in_use = false; ///< By the floor, against its standing.
    instant m_present_at;          ///< When a usable member last announced it.
};

/// What is ordinary on one route.
struct route_expectation {
    duration m_slow_from = duration::max(); ///< Well above the median.
    duration m_limit = duration::max();     ///< Hardly any answer takes longer.
};

/// What all upstreams of a service do together.
struct service_record {
    double m_rate = 0; ///< Answers per second.
    std::uint32_t m_pending = 0;
    double m_trial_share = 1;
    std::map<std::string, route_expectation, std::less<>> m_routes;
};

} // namespace health

/// Evidence on all upstreams and the verdicts drawn from it.
struct health_state {
    health::evidence_outbox m_outbox;
    health::evidence_inbox m_inbox;
    health::path_view m_paths;
    std::map<upstream_id, health::upstream_record> m_upstreams;
    std::map<std::string, health::service_record, std::less<>> m_services;
    /// Sent but not yet taken in: this host's evidence must not be ahead of that from elsewhere, or
    /// what befalls all upstreams together would look like a sickness of its own.
    std::vector<health_report> m_own_reports;
    instant m_now; ///< The time of the latest event, for questions that carry none.
    instant m_next_judgement;
    instant m_next_report;
};

} // namespace chivevane
