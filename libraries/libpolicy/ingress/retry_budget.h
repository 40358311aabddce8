#pragma once

#include "libbase/instant.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace chivevane {

/// The attempts beyond the first of each request that one service may still get.
struct service_retry_budget {
    double m_retries = 0;  ///< Attempts that may put additional load on an upstream.
    double m_reroutes = 0; ///< Attempts that replace one that was proven not run.
    instant m_last_retry = instant::min(); ///< When `spend_retry` last allowed one.
};

/// The retry budgets of this host. Their number is bounded by the services in the documents.
struct retry_budget {
    /// The budget of each service, by name.
    std::map<std::string, service_retry_budget, std::less<>> m_budgets;
};

} // namespace chivevane

namespace chivevane::ingress {

/// The rate at which one host earns retries for a service, and their bound.
struct retry_budget_settings {
    double m_retries_per_request = 0.08; ///< The part of a retry that each request earns.
    double m_max_retries = 10;           ///< The most retries that the budget holds.
    double m_initial_retries = 0; ///< Retries that the budget holds before the first request.
};

/// Adds what one request earns to the budget of its service. Called once for each first attempt.
void earn_retries(retry_budget& budget, std::string_view service,
                  const retry_budget_settings& settings);

/// Spends one retry or hedged attempt; false if the budget holds none. Without
/// budget, one retry per `spare_retry_interval` is still allowed, so that services with little
/// traffic are retried at all.
bool spend_retry(retry_budget& budget, std::string_view service, instant now);

/// Returns the retries that requests have earned and that have not been spent.
double retries_left(const retry_budget& budget, std::string_view service);

/// Spends one retry; false if the budget holds none.
bool spend_earned_retry(retry_budget& budget, std::string_view service);

/// Spends one attempt that replaces one proven not run; false if the budget holds none.
bool spend_reroute(retry_budget& budget, std::string_view service);

} // namespace chivevane::ingress
