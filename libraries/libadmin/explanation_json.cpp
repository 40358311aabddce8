#include "libadmin/explanation_json.h"

#include "libadmin/resource_json.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <vector>

namespace chivevane {

namespace {

std::string_view name_of(placement_mode mode)
{
    return mode == placement_mode::probing ? "probing" : "weighted";
}

std::string_view name_of(token_decision_forecast decision)
{
    switch (decision) {
    case token_decision_forecast::granted:
        return "granted";
    case token_decision_forecast::refused:
        return "refused";
    case token_decision_forecast::asks_other_host:
        return "asks-other-host";
    }
    return "invalid";
}

std::string_view name_of(load_source source)
{
    switch (source) {
    case load_source::none:
        return "none";
    case load_source::gate_answer:
        return "gate-answer";
    case load_source::host_record:
        return "host-record";
    }
    return "invalid";
}

/// Returns the remaining time, or null if it is over.
json_value remaining_ms(duration time)
{
    return time > duration{} ? json_value(to_milliseconds(time)) : json_value(nullptr);
}

/// Rounds to six decimals, so that the text does not depend on the last bits.
double rounded(double probability)
{
    constexpr double scale = 1e6;
    return std::round(probability * scale) / scale;
}

json_value refusal_json(const std::optional<refusal>& reason)
{
    if (!reason) {
        return nullptr;
    }
    return {{"kind", to_string(reason->m_kind)},
            {"status", status_of(reason->m_kind)},
            {"outcome", reason->m_outcome == request_outcome::not_run ? "not-run" : "unknown"},
            {"retry_after_ms", reason->m_retry_after
                                   ? json_value(to_milliseconds(*reason->m_retry_after))
                                   : json_value(nullptr)}};
}

json_value rate_json(const std::optional<rate_explanation>& rate)
{
    if (!rate) {
        return nullptr;
    }
    return {{"rate", rate->m_limit.m_rate},
            {"burst", rate->m_limit.m_burst},
            {"mode", rate->m_mode == rate_mode::metered ? "metered" : "exact"},
            {"decided_by", rate->m_deciding_hosts},
            {"decision", name_of(rate->m_decision)}};
}

void add_belief(json_value& candidate, const gate_belief& belief)
{
    const bool is_full = belief.m_full_for > duration{};
    candidate["circuit"] = belief.m_circuit_open_for > duration{} ? "open" : "closed";
    candidate["circuit_open_ms"] = remaining_ms(belief.m_circuit_open_for);
    candidate["circuit_seen_open_age_ms"] =
        belief.m_circuit_seen_open_ago
            ? json_value(to_milliseconds(*belief.m_circuit_seen_open_ago))
            : json_value(nullptr);
    candidate["busy_ms"] = remaining_ms(belief.m_busy_for);
    candidate["full_ms"] = remaining_ms(belief.m_full_for);
    candidate["full_priority"] = is_full ? json_value(belief.m_full_priority) : json_value(nullptr);
    candidate["unreachable_ms"] = remaining_ms(belief.m_unreachable_for);
}

json_value candidate_json(const candidate_explanation& each)
{
    const bool is_asked = each.m_step != 0;
    json_value candidate{
        {"step", is_asked ? json_value(each.m_step) : json_value(nullptr)},
        {"probability", rounded(each.m_probability)},
        {"host", each.m_upstream.m_host},
        {"endpoint", each.m_upstream.m_endpoint},
        {"datacentre", each.m_datacentre},
        {"own_datacentre", each.m_is_in_own_datacentre},
        {"may_queue",
         is_asked ? json_value(each.m_queueing == queueing_permission::allowed) : nullptr},
        {"bypasses_circuit",
         is_asked ? json_value(each.m_circuit_breaker_mode != circuit_breaker_mode::enforce)
                  : nullptr},
        {"slots", each.m_slots},
        {"concurrency", each.m_concurrency},
        {"queued", each.m_queued},
        {"warmth", each.m_warm_up_state == warm_up_state::warm ? "warm" : "cold"},
        {"record_age_ms", to_milliseconds(each.m_record_age)},
        {"standing", standing_name(each.m_health.m_status)},
        {"share", each.m_health.m_share},
        {"load", each.m_load ? json_value(*each.m_load) : json_value(nullptr)},
        {"load_age_ms",
         each.m_load ? json_value(to_milliseconds(each.m_load_age)) : json_value(nullptr)},
        {"load_source", name_of(each.m_load_source)}};
    if (each.m_belief) {
        add_belief(candidate, *each.m_belief);
    }
    return candidate;
}

json_value service_json(const service_explanation& each)
{
    auto candidates = json_value::array();
    std::transform(each.m_candidates.begin(), each.m_candidates.end(),
                   std::back_inserter(candidates), candidate_json);
    return {{"service", each.m_service},
            {"weight", each.m_weight},
            {"probability", rounded(each.m_probability)},
            {"refusal", refusal_json(each.m_refusal)},
            {"candidates", std::move(candidates)}};
}

void add_route(json_value& body, const route_explanation& route)
{
    body["document"] = route.m_document;
    body["revision"] = route.m_revision;
    body["route"] = route.m_route;
    body["organisation"] =
        route.m_organisation.empty() ? json_value(nullptr) : json_value(route.m_organisation);
    body["priority"] = route.m_configured_priority;
    body["gate_priority"] = route.m_gate_priority;
    body["idempotent"] = route.m_idempotency == routing::idempotency::idempotent;
    body["left_ms"] = to_milliseconds(route.m_time_left);
    body["latency_target_ms"] = remaining_ms(route.m_latency_target);
}

json_value next_json(const std::optional<next_attempt>& next)
{
    if (!next) {
        return nullptr;
    }
    return {{"service", next->m_service},
            {"host", next->m_upstream.m_host},
            {"endpoint", next->m_upstream.m_endpoint}};
}

/// Returns the owners of this name in all documents, or in one if the name is DOCUMENT/NAME.
std::vector<key_owner> find_owners(const configuration_state& configuration, std::string_view text)
{
    const auto slash = text.find('/');
    const auto document_name = slash == text.npos ? std::string_view{} : text.substr(0, slash);
    const auto name = slash == text.npos ? text : text.substr(slash + 1);
    std::vector<key_owner> owners;
    for (const auto& [document_key, in_force] : configuration.m_documents) {
        const auto& organisations = in_force.m_document->m_organisations;
        const bool has_name =
            std::any_of(organisations.begin(), organisations.end(),
                        [name](const organisation& each) { return each.m_name == name; });
        if (has_name && (slash == text.npos || document_name == document_key)) {
            owners.push_back({document_key, std::string{name}});
        }
    }
    return owners;
}

} // namespace

std::variant<explanation_query, admin_problem>
make_explanation_query(const admin_view& view, const read_explanation& command)
{
    explanation_query query{
        command.m_method, command.m_host, command.m_target, {}, command.m_timeout_ms};
    if (!command.m_key_digest.empty()) {
        query.m_credential = ingress::key_digest{command.m_key_digest};
    }
    if (command.m_organisation.empty()) {
        return query;
    }
    auto owners = find_owners(view.m_host_state.m_configuration, command.m_organisation);
    if (owners.empty()) {
        return admin_problem{admin_problem_kind::no_organisation};
    }
    if (owners.size() > 1) {
        return admin_problem{
            admin_problem_kind::malformed_query,
            fmt::format("Several documents have an organisation {0}: name it DOCUMENT/{0}.",
                        command.m_organisation)};
    }
    query.m_credential = std::move(owners.front());
    return query;
}

json_value explanation_json(const request_explanation& explanation)
{
    json_value body{{"host", explanation.m_host},
                    {"datacentre", explanation.m_datacentre},
                    {"placement", name_of(explanation.m_placement)},
                    {"refusal", refusal_json(explanation.m_refusal)}};
    if (explanation.m_route) {
        add_route(body, *explanation.m_route);
    }
    body["rate"] = rate_json(explanation.m_rate);
    auto services = json_value::array();
    std::transform(explanation.m_services.begin(), explanation.m_services.end(),
                   std::back_inserter(services), service_json);
    body["services"] = std::move(services);
    body["next"] = next_json(explanation.m_next);
    return body;
}

} // namespace chivevane
