#include "libpolicy/ingress/probing.h"

#include "libpolicy/host_state.h"
#include "libpolicy/membership/possible_hosts.h"
#include "libpolicy/placement/placement.h"

#include <algorithm>
#include <vector>

namespace chivevane::ingress::probing {

namespace {

/// The part of the fleet's reserve that hosts share out. The rest covers the time in
/// which hosts do not know yet that others have joined or left.
constexpr double reserve_fraction = 0.75;

/// The most attempts of one request, each of which asks a gate.
constexpr std::size_t max_attempts = 14;

/// The mean size of a route's answers from which they should not cross data centres.
constexpr double large_answer_bytes = 20'000;

/// Counts the attempts that may have put load on an upstream, which leaves out those that a gate
/// refused.
std::size_t count_upstreams_reached(const ingress_request& request)
{
    return static_cast<std::size_t>(std::count_if(
        request.m_attempts.begin(), request.m_attempts.end(),
        [](const ingress_attempt& attempt) { return attempt.m_may_have_reached_upstream; }));
}

/// Describes each upstream of the service for the placement decision.
std::vector<placement::option> make_options(const host_state& self, const reducer_context& context,
                                            const ingress_request& request)
{
    std::vector<placement::option> options;
    for (const auto& candidate : routing::find_upstreams(context, self.m_membership,
                                                         self.m_configuration, request.m_service)) {
        placement::option each;
        each.m_location = candidate.m_location;
        each.m_slots = candidate.m_slots;
        each.m_is_in_own_datacentre = candidate.m_is_in_own_datacentre;
        each.m_record =
            placement::find_record(self.m_ingress.m_destinations, candidate.m_location.m_upstream);
        for (const auto& attempt : request.m_attempts) {
            if (attempt.m_destination.m_upstream == candidate.m_location.m_upstream) {
                each.m_was_tried = true;
                each.m_may_have_run_request =
                    each.m_may_have_run_request || attempt.m_may_have_reached_upstream;
                each.m_was_offered_queueing = each.m_was_offered_queueing ||
                                              attempt.m_queueing == queueing_permission::allowed;
                each.m_was_offered_bypass =
                    each.m_was_offered_bypass ||
                    attempt.m_circuit_breaker_mode != circuit_breaker_mode::enforce;
            }
        }
        options.push_back(std::move(each));
    }
    return options;
}

} // namespace

bool is_enabled(const reducer_context& context)
{
    return context.m_settings.m_placement == placement_mode::probing;
}

bool has_upstreams(const host_state& self, const reducer_context& context,
                   const ingress_request& request)
{
    return is_enabled(context) && !routing::find_upstreams(context, self.m_membership,
                                                           self.m_configuration, request.m_service)
                                       .empty();
}

bool has_large_answers(const host_state& self, const ingress_request& request)
{
    return mean_size(self.m_ingress.m_latencies, request.m_route->m_name) >= large_answer_bytes;
}

retry_budget_settings retry_budget_settings_of(const host_state& self,
                                               const reducer_context& context)
{
    const auto& limits = context.m_settings.m_retries;
    if (!is_enabled(context)) {
        return {};
    }
    // Hosts that are cut off go on to spend their parts of the reserve.
    const auto hosts = static_cast<double>(membership::count_possible_hosts(self.m_membership));
    const auto reserve = std::max(1.0, limits.m_reserve * reserve_fraction / hosts);
    return {limits.m_share, reserve, reserve};
}

placement_query make_query(const host_state& self, const reducer_context& context,
                           const ingress_request& request)
{
    const auto refusals = request.m_attempts.size() - count_upstreams_reached(request);
    return {make_options(self, context, request),
            {refusals, request.m_priority, has_large_answers(self, request), context.m_now}};
}

std::optional<destination> find_destination(const host_state& self, reducer_context& context,
                                            const ingress_request& request)
{
    const auto query = make_query(self, context, request);
    const auto& options = query.m_options;
    const auto decided = placement::decide(options, query.m_input, context.m_random);
    if (!decided) {
        return std::nullopt;
    }
    return destination{options[decided->m_option].m_location, connection_reuse::allowed,
                       decided->m_queueing, decided->m_circuit_breaker_mode};
}

bool spend_budget_for_attempt(host_state& self, const ingress_request& request,
                              const refusal& reason)
{
    if (request.m_attempts.size() >= max_attempts + request.m_extra_attempts) {
        return false;
    }
    if (reason.m_outcome == request_outcome::not_run &&
        !request.m_attempts.back().m_may_have_reached_upstream) {
        return true;
    }
    const auto limit = request.m_route->m_attempts + request.m_answer.m_resumptions;
    const bool may_run_again = reason.m_outcome == request_outcome::not_run ||
                               request.m_idempotency == routing::idempotency::idempotent;
    return count_upstreams_reached(request) < limit && may_run_again &&
           spend_earned_retry(self.m_ingress.m_retry_budget, request.m_service);
}

} // namespace chivevane::ingress::probing
