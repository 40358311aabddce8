#include "libpolicy/ingress/ingress.h"

#include "libbase/digest.h"
#include "libdocument/match_route.h"
#include "libpolicy/configuration/configuration.h"
#include "libpolicy/forwarding.h"
#include "libpolicy/ingress/caller_request.h"
#include "libpolicy/limits/limits.h"
#include "libpolicy/node_state.h"
#include "libpolicy/refusal.h"
#include "libpolicy/routing/routing.h"
#include "libwire/link_head.h"

#include <algorithm>
#include <fmt/format.h>

namespace chivevane::ingress {

namespace {

constexpr duration connect_timeout = 1s;
constexpr duration stall_timeout = 10s;

routing::repeatability repeatability_of(std::string_view method)
{
    const bool is_idempotent = method == "GET" || method == "HEAD" || method == "OPTIONS" ||
                               method == "PUT" || method == "DELETE";
    return is_idempotent ? routing::repeatability::idempotent
                         : routing::repeatability::not_idempotent;
}

void end_request(node_state& node, exchange_id exchange)
{
    const auto& request = node.m_ingress.m_requests.at(exchange);
    for (const auto& attempt : request.m_attempts) {
        node.m_ingress.m_by_transfer.erase(attempt.m_transfer);
    }
    node.m_ingress.m_requests.erase(exchange);
}

void refuse(node_state& node, context& surroundings, exchange_id exchange, const refusal& reason)
{
    emit(surroundings, make_refusal(exchange, reason));
    end_request(node, exchange);
}

std::vector<upstream_id> tried_upstreams(const ingress_request& request)
{
    std::vector<upstream_id> tried;
    for (const auto& attempt : request.m_attempts) {
        tried.push_back(attempt.m_upstream);
    }
    return tried;
}

std::uint64_t fingerprint_of(const ingress_request& request)
{
    return stable_hash(fmt::format("{}\n{}\n{}\n{}\n{}", request.m_organisation,
                                   request.m_route->m_name, request.m_head.m_method,
                                   request.m_head.m_target, request.m_body_hash));
}

/// Starts the next attempt, or refuses the request when there is nowhere to send it.
void start_attempt(node_state& node, context& surroundings, ingress_request& request)
{
    const auto tried = tried_upstreams(request);
    const routing::question asked{request.m_route->m_service,
                                  repeatability_of(request.m_head.m_method), tried};
    const auto chosen = routing::choose_upstream(surroundings, node.m_membership, node.m_health,
                                                 node.m_configuration, asked);
    if (!chosen) {
        refuse(node, surroundings, request.m_exchange,
               {refusal_kind::no_upstream, request_outcome::not_run, 1s});
        return;
    }
    const auto number = static_cast<std::uint32_t>(request.m_attempts.size() + 1);
    ingress_attempt attempt{{surroundings.m_settings.m_self, node.m_ingress.m_last_request, number},
                            next_id(surroundings),
                            chosen->m_upstream,
                            chosen->m_gate_incarnation,
                            surroundings.m_now};
    const auto time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
        request.m_deadline - surroundings.m_now);
    const link_head link{attempt.m_id,
                         chosen->m_gate_incarnation,
                         chosen->m_upstream.m_endpoint,
                         request.m_route->m_service,
                         request.m_route->m_name,
                         request.m_rules->m_name,
                         request.m_organisation,
                         request.m_revision,
                         fingerprint_of(request),
                         time_left};
    auto head = request.m_head;
    add_link_fields(head, link, request.m_body_hash, surroundings.m_settings.m_shared_secret);
    emit(surroundings, start_transfer{attempt.m_transfer, request.m_exchange, chosen->m_gate.m_ip,
                                      chosen->m_gate.m_gate_port, std::move(head),
                                      connection_choice::reuse, connect_timeout, stall_timeout});
    node.m_ingress.m_by_transfer[attempt.m_transfer] = request.m_exchange;
    request.m_phase = ingress_phase::awaiting_answer;
    request.m_attempts.push_back(std::move(attempt));
}

void apply_verdict(node_state& node, context& surroundings, ingress_request& request,
                   const limits::verdict& verdict)
{
    if (std::holds_alternative<limits::granted>(verdict)) {
        start_attempt(node, surroundings, request);
    }
    else if (const auto* refused = std::get_if<limits::refused>(&verdict)) {
        refuse(node, surroundings, request.m_exchange,
               {refusal_kind::rate_exceeded, request_outcome::not_run, refused->m_retry_after});
    }
}

} // namespace

void on_request(node_state& node, context& surroundings, const inbound_request& inbound)
{
    if (node.m_ingress.m_is_leaving) {
        emit(surroundings, make_refusal(inbound.m_exchange, {refusal_kind::leaving}));
        return;
    }
    if (!configuration::may_serve(node.m_configuration, surroundings.m_now)) {
        emit(surroundings, make_refusal(inbound.m_exchange,
                                        {refusal_kind::not_ready, request_outcome::not_run, 1s}));
        return;
    }
    auto judged = judge_caller(node.m_configuration, inbound.m_head);
    if (const auto* kind = std::get_if<refusal_kind>(&judged)) {
        emit(surroundings, make_refusal(inbound.m_exchange, {*kind}));
        return;
    }
    auto& judgement = std::get<caller_judgement>(judged);
    ingress_request request;
    request.m_exchange = inbound.m_exchange;
    request.m_head = forwardable_request(inbound.m_head);
    request.m_body_hash = inbound.m_body_hash;
    request.m_rules = judgement.m_rules;
    request.m_route = judgement.m_route;
    request.m_revision = judgement.m_revision;
    request.m_organisation = judgement.m_organisation;
    request.m_limit = judgement.m_limit;
    request.m_deadline = surroundings.m_now + deadline_of(inbound.m_head, *judgement.m_route);
    ++node.m_ingress.m_last_request;
    auto& kept = node.m_ingress.m_requests[inbound.m_exchange] = std::move(request);
    if (kept.m_organisation.empty()) {
        start_attempt(node, surroundings, kept);
        return;
    }
    const auto organisation = kept.m_rules->m_name + "/" + kept.m_organisation;
    apply_verdict(node, surroundings, kept,
                  limits::take_token(node.m_limits, surroundings, node.m_membership, organisation,
                                     kept.m_limit, kept.m_exchange));
}

void on_gone(node_state& node, context& surroundings, exchange_id exchange)
{
    const auto& request = node.m_ingress.m_requests.at(exchange);
    if (request.m_phase == ingress_phase::awaiting_token) {
        limits::withdraw_ticket(node.m_limits, exchange);
    }
    else {
        emit(surroundings, cancel_transfer{request.m_attempts.back().m_transfer});
    }
    end_request(node, exchange);
}

void on_transfer_head(node_state& node, context& surroundings, const transfer_head& answer)
{
    auto& request =
        node.m_ingress.m_requests.at(node.m_ingress.m_by_transfer.at(answer.m_transfer));
    const auto& attempt = request.m_attempts.back();
    const auto echo = find_field(answer.m_head.m_fields, attempt_field);
    if (echo != to_string(attempt.m_id)) {
        emit(surroundings, cancel_transfer{answer.m_transfer});
        refuse(node, surroundings, request.m_exchange,
               {refusal_kind::upstream_failed, request_outcome::unknown});
        return;
    }
    const bool not_run = find_field(answer.m_head.m_fields, fate_field) == "not-run";
    if (not_run && request.m_attempts.size() < request.m_route->m_attempts) {
        emit(surroundings, cancel_transfer{answer.m_transfer});
        start_attempt(node, surroundings, request);
        return;
    }
    request.m_phase = ingress_phase::relaying;
    emit(surroundings, relay_transfer{answer.m_transfer, request.m_exchange,
                                      forwardable_response(answer.m_head)});
}

void on_transfer_ended(node_state& node, context& surroundings, const transfer_ended& end)
{
    auto& request = node.m_ingress.m_requests.at(node.m_ingress.m_by_transfer.at(end.m_transfer));
    if (request.m_phase == ingress_phase::relaying) {
        if (end.m_end == transfer_end::complete) {
            emit(surroundings, finish_exchange{request.m_exchange});
        }
        else {
            emit(surroundings, abort_exchange{request.m_exchange});
        }
        end_request(node, request.m_exchange);
        return;
    }
    const bool may_repeat =
        end.m_end == transfer_end::connect_failed ||
        repeatability_of(request.m_head.m_method) == routing::repeatability::idempotent;
    if (may_repeat && request.m_attempts.size() < request.m_route->m_attempts) {
        start_attempt(node, surroundings, request);
        return;
    }
    const auto outcome = end.m_end == transfer_end::connect_failed ? request_outcome::not_run
                                                                   : request_outcome::unknown;
    refuse(node, surroundings, request.m_exchange, {refusal_kind::upstream_failed, outcome});
}

void on_void_response(node_state&, context&, const void_response&) {}

void on_tokens_settled(node_state& node, context& surroundings)
{
    for (const auto& settled : limits::take_settled(node.m_limits)) {
        const auto found = node.m_ingress.m_requests.find(settled.m_ticket);
        if (found != node.m_ingress.m_requests.end()) {
            apply_verdict(node, surroundings, found->second, settled.m_verdict);
        }
    }
}

void on_timer(node_state& node, context& surroundings)
{
    std::vector<exchange_id> late;
    for (const auto& [exchange, request] : node.m_ingress.m_requests) {
        if (request.m_phase != ingress_phase::relaying &&
            request.m_deadline <= surroundings.m_now) {
            late.push_back(exchange);
        }
    }
    for (const auto exchange : late) {
        const auto& request = node.m_ingress.m_requests.at(exchange);
        auto outcome = request_outcome::not_run;
        if (request.m_phase == ingress_phase::awaiting_answer) {
            emit(surroundings, cancel_transfer{request.m_attempts.back().m_transfer});
            outcome = request_outcome::unknown;
        }
        refuse(node, surroundings, exchange, {refusal_kind::deadline_exceeded, outcome});
    }
}

bool owns_transfer(const ingress_state& state, transfer_id transfer)
{
    return state.m_by_transfer.contains(transfer);
}

bool owns_exchange(const ingress_state& state, exchange_id exchange)
{
    return state.m_requests.contains(exchange);
}

instant next_wakeup(const ingress_state& state)
{
    auto earliest = instant::max();
    for (const auto& [exchange, request] : state.m_requests) {
        if (request.m_phase != ingress_phase::relaying) {
            earliest = std::min(earliest, request.m_deadline);
        }
    }
    return earliest;
}

} // namespace chivevane::ingress
