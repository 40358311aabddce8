#include "libpolicy/ingress/retry_budget.h"

#include <algorithm>

namespace chivevane::ingress {

namespace {

/// A service without budget may still be retried once per interval. With little traffic it would
/// otherwise earn too slowly to be retried at all.
constexpr duration spare_retry_interval = 10s;

constexpr double reroutes_per_request = 1; // Reroutes put load on gates, not on upstreams.
constexpr double max_reroutes = 100;

service_retry_budget& service_budget_of(retry_budget& budget, std::string_view service)
{
    const auto found = budget.m_budgets.find(service);
    if (found != budget.m_budgets.end()) {
        return found->second;
    }
    const service_retry_budget initial{0, max_reroutes, instant::min()};
    return budget.m_budgets.emplace(service, initial).first->second;
}

} // namespace

void earn_retries(retry_budget& budget, std::string_view service,
                  const retry_budget_settings& settings)
{
    const bool is_first = !budget.m_budgets.contains(service);
    auto& service_budget = service_budget_of(budget, service);
    service_budget.m_retries +=
        settings.m_retries_per_request + (is_first ? settings.m_initial_retries : 0);
    service_budget.m_retries = std::min(settings.m_max_retries, service_budget.m_retries);
    service_budget.m_reroutes =
        std::min(max_reroutes, service_budget.m_reroutes + reroutes_per_request);
}

bool spend_retry(retry_budget& budget, std::string_view service, instant now)
{
    auto& service_budget = service_budget_of(budget, service);
    const bool has_spare = service_budget.m_last_retry == instant::min() ||
                           now - service_budget.m_last_retry >= spare_retry_interval;
    if (service_budget.m_retries < 1 && !has_spare) {
        return false;
    }
    service_budget.m_retries = std::max(0.0, service_budget.m_retries - 1);
    service_budget.m_last_retry = now;
    return true;
}

double retries_left(const retry_budget& budget, std::string_view service)
{
    const auto found = budget.m_budgets.find(service);
    return found == budget.m_budgets.end() ? 0 : found->second.m_retries;
}

bool spend_earned_retry(retry_budget& budget, std::string_view service)
{
    auto& service_budget = service_budget_of(budget, service);
    if (service_budget.m_retries < 1) {
        return false;
    }
    service_budget.m_retries -= 1;
    return true;
}

bool spend_reroute(retry_budget& budget, std::string_view service)
{
    auto& service_budget = service_budget_of(budget, service);
    if (service_budget.m_reroutes < 1) {
        return false;
    }
    service_budget.m_reroutes -= 1;
    return true;
}

} // namespace chivevane::ingress
