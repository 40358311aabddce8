#include "libpolicy/reduce.h"

#include "libbase/result.h"
#include "libpolicy/admission/admission.h"
#include "libpolicy/configuration/configuration.h"
#include "libpolicy/gate/gate.h"
#include "libpolicy/gate/health_checks.h"
#include "libpolicy/health/health.h"
#include "libpolicy/ingress/attempts.h"
#include "libpolicy/ingress/ingress.h"
#include "libpolicy/limits/limits.h"
#include "libpolicy/limits/metering.h"
#include "libpolicy/membership/membership.h"

#include <algorithm>

namespace chivevane {

namespace {

reducer_context make_context(node_state& node, instant now, std::int64_t wall_ms,
                             effect_list& effects)
{
    return {now, wall_ms, node.m_settings, node.m_random, node.m_last_id, effects};
}

/// Makes the host refuse new requests from now on and leave the membership and the rate limits.
void begin_leaving(node_state& node, reducer_context& context)
{
    node.m_ingress.m_is_leaving = true;
    node.m_gate.m_is_leaving = true;
    membership::leave(node.m_membership, context);
    limits::leave(node.m_limits, context);
}

void stop(node_state& node, reducer_context& context);

/// Starts to refuse new requests once the shutdown notice is over.
void end_shutdown_notice(node_state& node, reducer_context& context)
{
    const bool is_over =
        node.m_shutdown_notice_until && context.m_now >= *node.m_shutdown_notice_until;
    if (is_over && !node.m_gate.m_is_leaving) {
        begin_leaving(node, context);
    }
}

void handle(node_state& node, reducer_context& context, const timer_fired&)
{
    membership::on_timer(node.m_membership, context);
    configuration::on_timer(node.m_configuration, context, node.m_membership);
    limits::on_timer(node.m_limits, context, node.m_membership);
    health::on_timer(node.m_health, context, node.m_membership, node.m_configuration);
    gate::on_timer(node, context);
    ingress::on_timer(node, context);
    end_shutdown_notice(node, context);
}

void handle(node_state& node, reducer_context& context, const leave_requested&)
{
    if (node.m_leave_deadline) {
        stop(node, context);
        return;
    }
    node.m_leave_deadline = context.m_now + node.m_settings.m_shutdown_limit;
    node.m_shutdown_notice_until = context.m_now + node.m_settings.m_shutdown_notice;
    if (node.m_settings.m_shutdown_notice == duration{}) {
        begin_leaving(node, context);
    }
}

void handle(node_state& node, reducer_context& context, const inbound_request& request)
{
    if (request.m_listener == listener_kind::caller) {
        ingress::on_request(node, context, request);
    }
    else {
        gate::on_request(node, context, request);
    }
}

void handle(node_state& node, reducer_context& context, const inbound_gone& gone)
{
    if (ingress::owns_exchange(node.m_ingress, gone.m_exchange)) {
        ingress::on_gone(node, context, gone.m_exchange);
    }
    else if (gate::owns_exchange(node.m_gate, gone.m_exchange)) {
        gate::on_gone(node, context, gone.m_exchange);
    }
}

void handle(node_state& node, reducer_context& context, const transfer_head& answer)
{
    if (ingress::owns_transfer(node.m_ingress, answer.m_transfer)) {
        ingress::on_transfer_head(node, context, answer);
    }
    else if (gate::owns_transfer(node.m_gate, answer.m_transfer)) {
        gate::on_transfer_head(node, context, answer);
    }
    else if (gate::owns_health_check(node.m_gate, answer.m_transfer)) {
        gate::on_health_head(node, context, answer);
    }
}

void handle(node_state& node, reducer_context& context, const transfer_ended& end)
{
    if (ingress::owns_transfer(node.m_ingress, end.m_transfer)) {
        ingress::on_transfer_ended(node, context, end);
    }
    else if (gate::owns_transfer(node.m_gate, end.m_transfer)) {
        gate::on_transfer_ended(node, context, end);
    }
    else if (gate::owns_health_check(node.m_gate, end.m_transfer)) {
        gate::on_health_check_ended(node.m_gate, end);
    }
}

void handle(node_state& node, reducer_context& context, const datagram_received& received)
{
    const auto& sender = received.m_sender;
    std::visit(overloaded{
                   [&](const heartbeat& update) {
                       membership::on_heartbeat(node.m_membership, context, update);
                       configuration::on_heartbeat(node.m_configuration, context, update);
                   },
                   [&](const document_revisions& revisions) {
                       configuration::on_revisions(node.m_configuration, context, sender, revisions,
                                                   node.m_membership);
                   },
                   [&](const loan_request& request) {
                       limits::on_loan_request(node.m_limits, context, node.m_membership, sender,
                                               request);
                   },
                   [&](const loan_response& response) {
                       limits::on_loan_response(node.m_limits, context, node.m_membership, sender,
                                                response);
                   },
                   [&](const loan_report& report) {
                       limits::on_loan_report(node.m_limits, context, sender, report);
                   },
                   [&](const share_request& request) {
                       limits::on_share_request(node.m_limits, context, node.m_membership, sender,
                                                request);
                   },
                   [&](const share_response& response) {
                       limits::on_share_response(node.m_limits, context, sender, response);
                   },
                   [&](const void_request& request) {
                       gate::on_void_request(node, context, sender, request);
                   },
                   [&](const void_response& response) {
                       ingress::on_void_response(node, context, response);
                   },
                   [&](const crash_report& report) {
                       gate::on_crash_report(node, context, sender, report);
                   },
                   [&](const health_report& report) {
                       health::on_report(node.m_health, context, sender, report);
                   },
                   [&](const gossip& update) {
                       membership::on_gossip(node.m_membership, context, sender, update);
                       configuration::on_gossip(node.m_configuration, context, sender, update,
                                                node.m_membership);
                   },
                   [&](const probe& request) {
                       membership::on_probe(node.m_membership, context, sender, request);
                   },
                   [&](const probe_ack& ack) {
                       membership::on_probe_ack(node.m_membership, context, sender, ack);
                   },
                   [&](const account_request& request) {
                       membership::on_account_request(node.m_membership, context, request);
                   },
                   [&](const document_question& question) {
                       configuration::on_question(node.m_configuration, context, question);
                   },
                   [&](const token_request& request) {
                       limits::on_token_request(node.m_limits.m_metering, context,
                                                node.m_membership, sender, request);
                   },
                   [&](const token_response& response) {
                       limits::on_token_response(node.m_limits.m_metering, context, response);
                   },
               },
               received.m_message);
}

void handle(node_state& node, reducer_context& context, const store_response& response)
{
    switch (response.m_purpose) {
    case store_purpose::registration:
        membership::on_store_outcome(node.m_membership, context, response.m_outcome);
        break;
    case store_purpose::document_read:
    case store_purpose::document_write:
    case store_purpose::document_watch:
        configuration::on_store_response(node.m_configuration, context, response);
        break;
    case store_purpose::roster:
        limits::on_store_response(node.m_limits, context, response.m_operation_id,
                                  response.m_outcome);
        break;
    }
}

void handle(node_state& node, reducer_context& context, const document_submitted& submission)
{
    configuration::on_submitted(node.m_configuration, context, submission);
}

void handle(node_state& node, reducer_context& context, const document_fetched& answer)
{
    configuration::on_fetched(node.m_configuration, context, answer);
}

void handle(node_state& node, reducer_context& context, const upstream_announced& announcement)
{
    gate::on_announced(node, context, announcement);
}

void handle(node_state& node, reducer_context& context, const host_declared_dead& declaration)
{
    limits::declare_dead(node.m_limits, context, declaration.m_host);
    emit(context, record_event{"host-declared-dead",
                               {{"host", declaration.m_host}},
                               record_target::timeline_and_log});
    emit(context, respond{declaration.m_exchange, {202, {}}, {}});
}

bool has_work_in_progress(const node_state& node)
{
    return !node.m_ingress.m_requests.empty() || !node.m_gate.m_attempts.empty() ||
           !limits::has_left(node.m_limits);
}

/// Answers every caller that still waits for an answer, then ends the process.
void stop(node_state& node, reducer_context& context)
{
    ingress::conclude_all(node, context);
    emit(context, stop_process{});
}

/// Does the work that follows every event: applies deferred rate limit decisions, updates the
/// documents digest in heartbeats, and ends a shutdown that is complete or past its deadline.
void finish_event(node_state& node, reducer_context& context)
{
    ingress::on_tokens_settled(node, context);
    membership::set_documents_digest(node.m_membership,
                                     configuration::digest_of(node.m_configuration));
    const bool is_done = node.m_gate.m_is_leaving && !has_work_in_progress(node);
    if (node.m_leave_deadline && (is_done || context.m_now >= *node.m_leave_deadline)) {
        stop(node, context);
    }
}

/// Returns the time at which the shutdown notice ends; `instant::max()` if none is running.
instant shutdown_notice_end(const node_state& node)
{
    return node.m_shutdown_notice_until && !node.m_gate.m_is_leaving ? *node.m_shutdown_notice_until
                                                                     : instant::max();
}

} // namespace

started_node start_node(host_settings settings, instant now, std::int64_t wall_ms)
{
    started_node started;
    auto& node = started.m_state;
    node.m_settings = std::move(settings);
    node.m_random.seed(node.m_settings.m_random_seed);
    auto context = make_context(node, now, wall_ms, started.m_effects);
    membership::start(node.m_membership, context);
    configuration::start(node.m_configuration, context);
    limits::start(node.m_limits, context);
    return started;
}

effect_list reduce(node_state& node, const event& input)
{
    effect_list effects;
    auto context = make_context(node, input.m_at, input.m_wall_ms, effects);
    membership::note_event(node.m_membership, context);
    std::visit([&](const auto& body) { handle(node, context, body); }, input.m_body);
    finish_event(node, context);
    return effects;
}

instant next_wakeup(const node_state& node)
{
    return std::min({membership::next_wakeup(node.m_membership),
                     configuration::next_wakeup(node.m_configuration),
                     limits::next_wakeup(node.m_limits), health::next_wakeup(node.m_health),
                     admission::next_wakeup(node.m_admission), gate::next_wakeup(node.m_gate),
                     ingress::next_wakeup(node.m_ingress),
                     node.m_leave_deadline.value_or(instant::max()), shutdown_notice_end(node)});
}

} // namespace chivevane
