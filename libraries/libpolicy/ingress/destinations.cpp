#include "libpolicy/ingress/destinations.h"

#include "libpolicy/gate/quarantine.h"
#include "libpolicy/host_state.h"
#include "libpolicy/ingress/probing.h"
#include "libpolicy/membership/membership.h"
#include "libpolicy/placement/placement.h"

#include <utility>

namespace chivevane::ingress {

namespace {

std::vector<upstream_id> tried_upstreams(const ingress_request& request)
{
    std::vector<upstream_id> tried;
    for (const auto& attempt : request.m_attempts) {
        tried.push_back(attempt.m_destination.m_upstream);
    }
    return tried;
}

/// Finds a serving upstream on the only host that may run a suspected request.
std::optional<destination> find_owner_upstream(const host_state& self,
                                               const ingress_request& request)
{
    const auto& service = request.m_service;
    const auto name = quarantine::owner_of(self.m_gate.m_quarantine, self.m_membership, service,
                                           request.m_fingerprint);
    const auto* const owner = membership::find_member(self.m_membership, name);
    if (owner == nullptr) {
        return std::nullopt;
    }
    const auto& record = owner->m_record;
    for (const auto& summary : record.m_upstreams) {
        if (summary.m_service == service && summary.m_phase == upstream_phase::serving) {
            const upstream_id upstream{record.m_identity.m_name, summary.m_endpoint};
            return destination{{upstream, record.m_address, record.m_identity.m_incarnation}};
        }
    }
    return std::nullopt;
}

/// Returns the steps of the placement mode `probing`.
std::vector<destination_step> probing_steps(const host_state& self, const reducer_context& context,
                                            const ingress_request& request)
{
    const auto query = probing::make_query(self, context, request);
    std::vector<destination_step> steps;
    for (const auto& choice : placement::asking_order(query.m_options, query.m_input)) {
        double slots = 0;
        for (const auto index : choice.m_options) {
            slots += query.m_options[index].m_slots;
        }
        destination_step step{{}, choice.m_queueing, choice.m_circuit_breaker_mode};
        for (const auto index : choice.m_options) {
            const auto& option = query.m_options[index];
            step.m_upstreams.push_back({option.m_location.m_upstream, option.m_slots / slots});
        }
        steps.push_back(std::move(step));
    }
    return steps;
}

/// Returns the one step of the placement mode `weighted`.
std::vector<destination_step> weighted_step(const host_state& self, const reducer_context& context,
                                            const ingress_request& request)
{
    const auto tried = tried_upstreams(request);
    destination_step step;
    for (const auto& choice : routing::choice_probabilities(
             context, self.m_membership, self.m_health, self.m_configuration,
             {request.m_service, request.m_idempotency, tried})) {
        step.m_upstreams.push_back({choice.m_upstream, choice.m_probability});
    }
    return step.m_upstreams.empty() ? std::vector<destination_step>{}
                                    : std::vector<destination_step>{std::move(step)};
}

} // namespace

std::optional<destination> find_destination(const host_state& self, reducer_context& context,
                                            const ingress_request& request)
{
    switch (quarantine::request_status_of(self.m_gate.m_quarantine, request.m_fingerprint,
                                          context.m_now)) {
    case quarantine::status::quarantined:
        return std::nullopt;
    case quarantine::status::suspected:
        return find_owner_upstream(self, request);
    case quarantine::status::clear:
        break;
    }
    if (probing::is_enabled(context)) {
        return probing::find_destination(self, context, request);
    }
    const auto tried = tried_upstreams(request);
    const auto chosen =
        routing::choose_upstream(context, self.m_membership, self.m_health, self.m_configuration,
                                 {request.m_service, request.m_idempotency, tried});
    return chosen ? std::optional{destination{*chosen}} : std::nullopt;
}

std::variant<destination, refusal>
plan_first_attempt(const host_state& self, reducer_context& context, const ingress_request& request)
{
    const auto status = quarantine::request_status_of(self.m_gate.m_quarantine,
                                                      request.m_fingerprint, context.m_now);
    if (status == quarantine::status::quarantined) {
        return refusal{refusal_kind::quarantined};
    }
    if (const auto target = find_destination(self, context, request)) {
        return *target;
    }
    return refusal{probing::has_upstreams(self, context, request) ? refusal_kind::overloaded
                                                                  : refusal_kind::no_upstream,
                   request_outcome::not_run, 1s};
}

std::vector<destination_step> possible_destinations(const host_state& self,
                                                    const reducer_context& context,
                                                    const ingress_request& request)
{
    switch (quarantine::request_status_of(self.m_gate.m_quarantine, request.m_fingerprint,
                                          context.m_now)) {
    case quarantine::status::quarantined:
        return {};
    case quarantine::status::suspected:
        if (const auto owner = find_owner_upstream(self, request)) {
            return {destination_step{{{owner->m_location.m_upstream, 1.0}}}};
        }
        return {};
    case quarantine::status::clear:
        break;
    }
    return probing::is_enabled(context) ? probing_steps(self, context, request)
                                        : weighted_step(self, context, request);
}

} // namespace chivevane::ingress
