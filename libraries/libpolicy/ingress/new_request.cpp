#include "libpolicy/ingress/new_request.h"

#include "libbase/digest.h"
#include "libpolicy/configuration/configuration.h"
#include "libpolicy/forwarding.h"
#include "libpolicy/gate/quarantine.h"
#include "libpolicy/host_state.h"
#include "libpolicy/ingress/is_idempotent.h"
#include "libpolicy/ingress/request_priority.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>
#include <string_view>

namespace chivevane::ingress {

namespace {

constexpr std::string_view caller_service_field = "X-Caller-Service";

std::uint64_t fingerprint_of(const ingress_request& request)
{
    const auto request_hash = stable_hash(
        fmt::format("{}\n{}\n{}\n{}\n{}", request.m_organisation, request.m_route->m_name,
                    request.m_head.m_method, request.m_head.m_target, request.m_body_hash));
    return quarantine::make_fingerprint(request.m_organisation, request_hash);
}

/// Chooses the service that gets a request of the route `matched`, at random in proportion to the
/// weights of its targets.
std::string choose_service(const route& matched, random_engine& engine)
{
    if (matched.m_targets.empty()) {
        return matched.m_service;
    }
    double total_weight = 0;
    for (const auto& target : matched.m_targets) {
        total_weight += target.m_weight;
    }
    auto position = uniform_fraction(engine) * total_weight;
    for (const auto& target : matched.m_targets) {
        position -= target.m_weight;
        if (position < 0) {
            return target.m_service;
        }
    }
    return matched.m_targets.back().m_service;
}

routing::idempotency idempotency_of(const route& matched, std::string_view method)
{
    const bool is_idempotent_request = matched.m_idempotence == route_idempotence::by_method
                                           ? is_idempotent(method)
                                           : matched.m_idempotence == route_idempotence::idempotent;
    return is_idempotent_request ? routing::idempotency::idempotent
                                 : routing::idempotency::not_idempotent;
}

/// Tells upstreams which service the request comes from, and overwrites what the caller claims.
void set_caller_service(request_head& head, const std::string& service)
{
    if (service.empty()) {
        return;
    }
    std::erase_if(head.m_fields, [](const http_field& field) {
        return equal_ignoring_case(field.m_name, caller_service_field);
    });
    head.m_fields.push_back({std::string{caller_service_field}, service});
}

bool has_start_rate(const document& rules, std::string_view service)
{
    return std::any_of(rules.m_services.begin(), rules.m_services.end(),
                       [service](const service_policy& each) {
                           return each.m_name == service && each.m_cold_rate > 0;
                       });
}

/// The rank of the request's route among requests of the same organisation priority; empty if
/// routes do not rank them.
std::optional<std::uint32_t> route_rank(const reducer_context& context,
                                        const ingress_request& request)
{
    const bool is_ranked = context.m_settings.m_route_ranking == route_ranking::if_learned &&
                           !has_start_rate(*request.m_document, request.m_service);
    return is_ranked ? std::optional{request.m_route->m_priority} : std::nullopt;
}

} // namespace

std::optional<refusal> reason_not_to_serve(const host_state& self, instant now)
{
    if (self.m_ingress.m_is_leaving) {
        return refusal{refusal_kind::leaving};
    }
    if (!configuration::may_serve(self.m_configuration,
                                  self.m_settings.m_unconfirmed_documents_policy, now)) {
        return refusal{refusal_kind::not_ready, request_outcome::not_run, 1s};
    }
    return std::nullopt;
}

ingress_request make_request(const inbound_request& inbound,
                             const request_authorisation& authorisation, reducer_context& context)
{
    const auto now = context.m_now;
    ingress_request request;
    request.m_exchange = inbound.m_exchange;
    request.m_head = forwardable_request(inbound.m_head);
    set_caller_service(request.m_head, context.m_settings.m_service);
    request.m_body_hash = inbound.m_body_hash;
    request.m_document = authorisation.m_document;
    request.m_route = authorisation.m_route;
    request.m_revision = authorisation.m_revision;
    request.m_organisation = authorisation.m_organisation;
    request.m_limit = authorisation.m_limit;
    request.m_service = choose_service(*authorisation.m_route, context.m_random);
    request.m_priority =
        context.m_settings.m_placement == placement_mode::probing
            ? request_priority({authorisation.m_priority, authorisation.m_organisation,
                                context.m_settings.m_self.m_name, now,
                                route_rank(context, request)})
            : authorisation.m_priority;
    request.m_idempotency = idempotency_of(*authorisation.m_route, inbound.m_head.m_method);
    request.m_arrived_at = now;
    request.m_deadline = now + timeout_of(inbound.m_head, *authorisation.m_route);
    request.m_fingerprint = fingerprint_of(request);
    return request;
}

bool needs_token(const ingress_request& request)
{
    return !request.m_organisation.empty() && request.m_limit.m_rate != unlimited_rate;
}

std::string organisation_key(const ingress_request& request)
{
    return request.m_document->m_name + "/" + request.m_organisation;
}

} // namespace chivevane::ingress
