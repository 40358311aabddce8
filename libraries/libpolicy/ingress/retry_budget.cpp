#include "libpolicy/ingress/retry_budget.h"

#include <algorithm>

namespace chivevane::ingress {

namespace {

constexpr duration spare_retry_interval = 10s; // Low traffic earns too slowly to retry at all.
constexpr double reroutes_per_request = 1;     // They load gates, not upstreams.
constexpr double max_reroutes = 100;

retry_allowance& allowance_of(retry_budget& budget, std::string_view service)
{
    const auto found = budget.m_services.find(service);
    if (found != budget.m_services.end()) {
        return found->second;
    }
    const retry_allowance initial{0, max_reroutes, instant::min()};
    return budget.m_services.emplace(service, initial).first->second;
}

} // namespace

void earn_retries(retry_budget& budget, std::string_view service, const retry_allotment& allotment)
{
    const bool is_first = !budget.m_services.contains(service);
    auto& allowance = allowance_of(budget, service);
    allowance.m_retries += allotment.m_share + (is_first ? allotment.m_initial : 0);
    allowance.m_retries = std::min(allotment.m_reserve, allowance.m_retries);
    allowance.m_reroutes = std::min(max_reroutes, allowance.m_reroutes + reroutes_per_request);
}

bool spend_retry(retry_budget& budget, std::string_view service, instant now)
{
    auto& allowance = allowance_of(budget, service);
    const bool has_spare = allowance.m_last_retry == instant::min() ||
                           now - allowance.m_last_retry >= spare_retry_interval;
    if (allowance.m_retries < 1 && !has_spare) {
        return false;
    }
    allowance.m_retries = std::max(0.0, allowance.m_retries - 1);
    allowance.m_last_retry = now;
    return true;
}

double retries_left(const retry_budget& budget, std::string_view service)
{
    const auto found = budget.m_services.find(service);
    return found == budget.m_services.end() ? 0 : found->second.m_retries;
}

bool spend_earned_retry(retry_budget& budget, std::string_view service)
{
    auto& allowance = allowance_of(budget, service);
    if (allowance.m_retries < 1) {
        return false;
    }
    allowance.m_retries -= 1;
    return true;
}

bool spend_reroute(retry_budget& budget, std::string_view service)
{
    auto& allowance = allowance_of(budget, service);
    if (allowance.m_reroutes < 1) {
        return false;
    }
    allowance.m_reroutes -= 1;
    return true;
}

} // namespace chivevane::ingress
