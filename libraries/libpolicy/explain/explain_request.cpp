#include "libpolicy/explain/explain_request.h"

#include "libpolicy/explain/explain_candidates.h"
#include "libpolicy/ingress/destinations.h"
#include "libpolicy/ingress/new_request.h"
#include "libpolicy/limits/limits.h"
#include "libpolicy/limits/metering.h"
#include "libpolicy/limits/share_leases.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace chivevane {

namespace {

/// What a decision may change. It is used in place of the parts of the host's state.
struct scratch_state {
    random_engine m_random;
    std::uint64_t m_last_id = 0;
    effect_list m_effects;
};

reducer_context make_context(const host_state& self, instant now, scratch_state& scratch)
{
    return {now, 0, self.m_settings, scratch.m_random, scratch.m_last_id, scratch.m_effects};
}

inbound_request make_inbound(const host_state& self, const explanation_query& query)
{
    const auto& address = self.m_settings.m_address;
    const auto host = query.m_host.empty()
                          ? fmt::format("{}:{}", address.m_ip, address.m_caller_port)
                          : query.m_host;
    request_head head{query.m_method, query.m_target, {{"Host", host}}};
    if (query.m_timeout_ms) {
        head.m_fields.push_back({"X-Request-Timeout-Ms", std::to_string(*query.m_timeout_ms)});
    }
    return {0, listener_kind::caller, std::move(head), 0, 0};
}

route_explanation explain_route(const ingress::request_authorisation& authorisation,
                                const ingress_request& request)
{
    return {request.m_document->m_name,
            request.m_revision,
            request.m_route->m_name,
            request.m_organisation,
            authorisation.m_priority,
            request.m_priority,
            request.m_deadline - request.m_arrived_at,
            request.m_route->m_latency_target,
            request.m_idempotency};
}

/// Returns the meter or the brokers of an organisation, as of `rate_limits`.
std::vector<std::string> deciding_hosts(const limits_state& rate_limits,
                                        const reducer_context& context,
                                        const membership_state& members,
                                        const std::string& organisation)
{
    std::vector<std::string> hosts;
    if (context.m_settings.m_rate_mode == rate_mode::metered) {
        hosts.push_back(limits::meter_of(rate_limits.m_metering, context, members, organisation));
    }
    else {
        const auto brokers = limits::brokers_of(rate_limits, slot_of(organisation));
        hosts.assign(brokers.begin(), brokers.end());
    }
    std::erase(hosts, std::string{}); // No meter is known, or fewer brokers than usual.
    return hosts;
}

token_decision_forecast forecast_of(const limits::decision& decision)
{
    if (std::holds_alternative<limits::waiting>(decision)) {
        return token_decision_forecast::asks_other_host;
    }
    return std::holds_alternative<limits::granted>(decision) ? token_decision_forecast::granted
                                                             : token_decision_forecast::refused;
}

/// Takes a token from a copy of the rate limits. Sets the refusal if there is none.
void explain_rate(request_explanation& explanation, const host_state& self,
                  reducer_context& context, const ingress_request& request)
{
    const auto organisation = ingress::organisation_key(request);
    auto rate_limits = self.m_limits;
    const auto decision = limits::take_token(rate_limits, context, self.m_membership, organisation,
                                             request.m_limit, request.m_exchange);
    explanation.m_rate =
        rate_explanation{request.m_limit, context.m_settings.m_rate_mode,
                         deciding_hosts(rate_limits, context, self.m_membership, organisation),
                         forecast_of(decision)};
    if (const auto* refused = std::get_if<limits::refused>(&decision)) {
        explanation.m_refusal =
            refusal{refusal_kind::rate_exceeded, request_outcome::not_run, refused->m_retry_after};
    }
}

/// Explains the choice among the upstreams of the request's service.
service_explanation explain_service(const host_state& self, const reducer_context& context,
                                    const ingress_request& request, double weight,
                                    double probability)
{
    service_explanation explanation{request.m_service, weight, probability, {}, {}};
    scratch_state scratch{context.m_random};
    auto own_context = make_context(self, context.m_now, scratch);
    const auto planned = ingress::plan_first_attempt(self, own_context, request);
    if (const auto* reason = std::get_if<refusal>(&planned)) {
        explanation.m_refusal = *reason;
    }
    explanation.m_candidates = explain_candidates(self, context, request);
    return explanation;
}

std::vector<service_explanation>
explain_services(const host_state& self, const reducer_context& context, ingress_request request)
{
    const auto& targets = request.m_route->m_targets;
    if (targets.empty()) {
        return {explain_service(self, context, request, 1, 1)};
    }
    double total_weight = 0;
    for (const auto& target : targets) {
        total_weight += target.m_weight;
    }
    std::vector<service_explanation> services;
    for (const auto& target : targets) {
        request.m_service = target.m_service;
        services.push_back(explain_service(self, context, request, target.m_weight,
                                           total_weight > 0 ? target.m_weight / total_weight : 0));
    }
    return services;
}

/// Whether the request is refused whichever service is chosen.
bool refuses_always(const std::vector<service_explanation>& services)
{
    return std::all_of(services.begin(), services.end(), [](const service_explanation& each) {
        return each.m_refusal || each.m_weight <= 0;
    });
}

} // namespace

request_explanation explain_request(const host_state& self, instant now,
                                    const explanation_query& query)
{
    request_explanation explanation;
    explanation.m_host = self.m_settings.m_self.m_name;
    explanation.m_datacentre = self.m_settings.m_datacentre;
    explanation.m_placement = self.m_settings.m_placement;
    explanation.m_refusal = ingress::reason_not_to_serve(self, now);
    if (explanation.m_refusal) {
        return explanation;
    }
    const auto inbound = make_inbound(self, query);
    const auto authorised =
        ingress::authorise_request(self.m_configuration, inbound.m_head, query.m_credential);
    if (const auto* kind = std::get_if<refusal_kind>(&authorised)) {
        explanation.m_refusal = refusal{*kind};
        return explanation;
    }
    const auto& authorisation = std::get<ingress::request_authorisation>(authorised);
    scratch_state scratch{self.m_random, self.m_last_id, {}};
    auto context = make_context(self, now, scratch);
    const auto request = ingress::make_request(inbound, authorisation, context);
    explanation.m_route = explain_route(authorisation, request);
    if (ingress::needs_token(request)) {
        explain_rate(explanation, self, context, request);
    }
    explanation.m_services = explain_services(self, context, request);
    if (explanation.m_refusal) {
        return explanation;
    }
    const auto planned = ingress::plan_first_attempt(self, context, request);
    if (const auto* target = std::get_if<ingress::destination>(&planned)) {
        explanation.m_next = next_attempt{request.m_service, target->m_location.m_upstream};
    }
    else if (refuses_always(explanation.m_services)) {
        explanation.m_refusal = std::get<refusal>(planned);
    }
    return explanation;
}

} // namespace chivevane
