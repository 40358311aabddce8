#pragma once

#include "libbase/instant.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace chivevane {

/// What one service may still be sent beyond first attempts.
struct retry_allowance {
    double m_retries = 0;  ///< Attempts that may load an upstream once more.
    double m_reroutes = 0; ///< Attempts after one that was proven not run.
    instant m_last_retry = instant::min();
};

/// The retry budgets of this host by service. Bounded by the services in the documents.
struct retry_budget {
    std::map<std::string, retry_allowance, std::less<>> m_services;
};

} // namespace chivevane

namespace chivevane::ingress {

/// What one host may use of the retries of a service.
struct retry_allotment {
    double m_share = 0.08; ///< Earned by each request.
    double m_reserve = 10; ///< Kept at most.
    double m_initial = 0;  ///< There before the first request.
};

/// Counts a first attempt: it earns a share of a retry.
void earn_retries(retry_budget& budget, std::string_view service, const retry_allotment& allotment);

/// Takes a retry or hedge, if the budget has one.
bool spend_retry(retry_budget& budget, std::string_view service, instant now);

/// Retries that requests have earned and nobody has taken.
double retries_left(const retry_budget& budget, std::string_view service);

/// Takes a retry, if requests have earned one.
bool spend_earned_retry(retry_budget& budget, std::string_view service);

/// Takes a new attempt after one that was proven not run, if the budget has one.
bool spend_reroute(retry_budget& budget, std::string_view service);

} // namespace chivevane::ingress
