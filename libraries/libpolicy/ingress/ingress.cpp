#include "libpolicy/ingress/ingress.h"

#include "libbase/digest.h"
#include "libpolicy/host_state.h"
#include "libpolicy/ingress/answers.h"
#include "libpolicy/ingress/attempts.h"
#include "libpolicy/ingress/caller_request.h"
#include "libpolicy/ingress/execution_inquiries.h"
#include "libpolicy/ingress/new_request.h"
#include "libpolicy/ingress/request_log.h"
#include "libpolicy/limits/limits.h"
#include "libpolicy/refusal.h"
#include "libwire/attempt_metadata.h"

#include <algorithm>
#include <cassert>

namespace chivevane::ingress {

namespace {

ingress_request& add_request(ingress_state& state, ingress_request request)
{
    request.m_number = ++state.m_last_request_number;
    state.m_by_number[request.m_number] = request.m_exchange;
    const auto exchange = request.m_exchange;
    auto& added = state.m_requests[exchange] = std::move(request);
    reschedule(state, added);
    return added;
}

void apply_token_decision(host_state& self, reducer_context& context, ingress_request& request,
                          const limits::decision& decision)
{
    if (std::holds_alternative<limits::granted>(decision)) {
        start_first_attempt(self, context, request);
    }
    else if (const auto* refused = std::get_if<limits::refused>(&decision)) {
        fail_request(
            self, context, request,
            {refusal_kind::rate_exceeded, request_outcome::not_run, refused->m_retry_after});
    }
}

attempt_reference find_by_transfer(ingress_state& state, transfer_id transfer)
{
    auto& request = state.m_requests.at(state.m_by_transfer.at(transfer));
    const auto found =
        std::find_if(request.m_attempts.begin(), request.m_attempts.end(),
                     [transfer](const auto& each) { return each.m_transfer == transfer; });
    assert(found != request.m_attempts.end());
    return {request, *found};
}

/// Sends a hedged attempt because the first one is late, if an upstream has not been tried yet.
void hedge(host_state& self, reducer_context& context, ingress_request& request)
{
    request.m_hedge_at = instant::max();
    const auto target = find_destination(self, context, request);
    const auto is_tried = [&target](const ingress_attempt& attempt) {
        return attempt.m_destination.m_upstream == target->m_location.m_upstream;
    };
    if (target && std::none_of(request.m_attempts.begin(), request.m_attempts.end(), is_tried) &&
        spend_budget_for_attempt(self, context, request,
                                 {refusal_kind::upstream_failed, request_outcome::unknown})) {
        send_attempt(self, context, request, *target);
    }
    reschedule(self.m_ingress, request);
}

void end_expired_request(host_state& self, reducer_context& context, ingress_request& request)
{
    if (request.m_phase == ingress_phase::awaiting_token) {
        limits::cancel_waiting_request(self.m_limits, request.m_exchange);
    }
    fail_request(self, context, request, {refusal_kind::deadline_exceeded});
}

void process_due_request(host_state& self, reducer_context& context, ingress_request& request)
{
    const auto now = context.m_now;
    if (request.m_phase != ingress_phase::relaying && request.m_deadline <= now) {
        end_expired_request(self, context, request);
        return;
    }
    const auto due =
        std::find_if(request.m_attempts.begin(), request.m_attempts.end(),
                     [now](const auto& attempt) { return attempt.m_next_inquiry <= now; });
    if (due != request.m_attempts.end()) {
        process_due_inquiry(self, context, request, *due);
        return;
    }
    hedge(self, context, request);
}

} // namespace

void on_request(host_state& self, reducer_context& context, const inbound_request& inbound)
{
    if (const auto reason = reason_not_to_serve(self, context.m_now)) {
        emit(context, make_refusal(inbound.m_exchange, *reason));
        return;
    }
    const auto authorised = authorise_request(self.m_configuration, inbound.m_head);
    if (const auto* kind = std::get_if<refusal_kind>(&authorised)) {
        emit(context, make_refusal(inbound.m_exchange, {*kind}));
        return;
    }
    auto& request =
        add_request(self.m_ingress,
                    make_request(inbound, std::get<request_authorisation>(authorised), context));
    if (!needs_token(request)) {
        start_first_attempt(self, context, request);
        return;
    }
    apply_token_decision(self, context, request,
                         limits::take_token(self.m_limits, context, self.m_membership,
                                            organisation_key(request), request.m_limit,
                                            request.m_exchange));
}

void on_caller_disconnected(host_state& self, reducer_context& context, exchange_id exchange)
{
    auto& request = self.m_ingress.m_requests.at(exchange);
    log_caller_left(context, request);
    if (request.m_phase == ingress_phase::awaiting_token) {
        limits::cancel_waiting_request(self.m_limits, exchange);
    }
    for (auto& attempt : request.m_attempts) {
        cancel_attempt(self, context, attempt);
    }
    remove_request(self, request);
}

void on_transfer_head(host_state& self, reducer_context& context, const transfer_head& answer)
{
    const auto reference = find_by_transfer(self.m_ingress, answer.m_transfer);
    auto& attempt = reference.m_attempt;
    if (attempt.m_phase != attempt_phase::sent) {
        return;
    }
    const auto& fields = answer.m_head.m_fields;
    if (find_field(fields, attempt_field) != to_string(attempt.m_id)) {
        cancel_attempt(self, context, attempt);
        report_observation(self, context, reference, observed_result::corrupted);
        handle_lost_answer(self, context, reference, refusal_kind::upstream_failed);
        return;
    }
    record_gate_status(self.m_ingress, attempt, answer.m_head, context.m_now);
    if (const auto reason = find_field(fields, reason_field)) {
        handle_gate_refusal(self, context, reference, answer.m_head, *reason);
        return;
    }
    handle_answer(self, context, reference, answer.m_head);
}

void on_transfer_ended(host_state& self, reducer_context& context, const transfer_ended& end)
{
    const auto reference = find_by_transfer(self.m_ingress, end.m_transfer);
    if (end.m_end == transfer_end::caller_left) {
        on_caller_disconnected(self, context, reference.m_request.m_exchange);
        return;
    }
    if (reference.m_attempt.m_phase == attempt_phase::answered) {
        handle_relay_end(self, context, reference, end);
        return;
    }
    if (end.m_end == transfer_end::connect_failed) {
        report_observation(self, context, reference, observed_result::unreachable);
        placement::record_unreachable(self.m_ingress.m_destinations,
                                      reference.m_attempt.m_destination.m_upstream, context.m_now);
        reference.m_attempt.m_may_have_reached_upstream = false;
        reference.m_attempt.m_may_have_late_duplicate = false;
        end_attempt(self, context, reference.m_request, reference.m_attempt,
                    {refusal_kind::upstream_failed, request_outcome::not_run, 1s});
        return;
    }
    handle_lost_answer(self, context, reference, refusal_kind::upstream_failed);
}

void on_cancel_attempt_response(host_state& self, reducer_context& context,
                                const cancel_attempt_response& response)
{
    auto& state = self.m_ingress;
    const auto& id = response.m_attempt;
    const auto number = state.m_by_number.find(id.m_request);
    if (id.m_ingress != context.m_settings.m_self || number == state.m_by_number.end()) {
        return;
    }
    auto& request = state.m_requests.at(number->second);
    const auto found = std::find_if(request.m_attempts.begin(), request.m_attempts.end(),
                                    [&id](const auto& attempt) { return attempt.m_id == id; });
    const bool is_unasked = response.m_status == execution_status::stalled;
    if (found == request.m_attempts.end() || (found->m_unanswered_inquiries == 0 && !is_unasked) ||
        found->m_destination.m_gate_incarnation != response.m_gate_incarnation) {
        return;
    }
    if (found->m_phase == attempt_phase::sent || found->m_phase == attempt_phase::cancelling) {
        apply_execution_status(self, context, request, *found, response.m_status);
    }
}

void on_token_decisions(host_state& self, reducer_context& context)
{
    for (const auto& deferred : limits::take_deferred_decisions(self.m_limits)) {
        const auto found = self.m_ingress.m_requests.find(deferred.m_request_id);
        if (found != self.m_ingress.m_requests.end() &&
            found->second.m_phase == ingress_phase::awaiting_token) {
            apply_token_decision(self, context, found->second, deferred.m_decision);
        }
    }
}

void on_timer(host_state& self, reducer_context& context)
{
    auto& state = self.m_ingress;
    while (!state.m_due_requests.empty() && state.m_due_requests.begin()->m_at <= context.m_now) {
        process_due_request(self, context,
                            state.m_requests.at(state.m_due_requests.begin()->m_exchange));
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
    return state.m_due_requests.empty() ? instant::max() : state.m_due_requests.begin()->m_at;
}

} // namespace chivevane::ingress
