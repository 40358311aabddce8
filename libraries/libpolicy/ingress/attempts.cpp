#include "libpolicy/ingress/attempts.h"

#include "libpolicy/gate/gate_answers.h"
#include "libpolicy/gate/silence_limit.h"
#include "libpolicy/health/health.h"
#include "libpolicy/host_state.h"
#include "libpolicy/ingress/probing.h"
#include "libpolicy/ingress/request_log.h"
#include "libpolicy/membership/membership.h"
#include "libwire/attempt_metadata.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace chivevane::ingress {

namespace {

constexpr duration connect_timeout = 1s;

/// In the placement mode `probing`, which tries gates one after another, a gate that does not
/// accept the connection in time is soon given up for the next.
constexpr duration probing_connect_timeout = 150ms;

constexpr duration stall_timeout = 10s;

/// Gates get a deadline that is earlier by this margin, so that their refusal, which reports the
/// execution status of the attempt, arrives in time.
constexpr duration gate_refusal_margin = 5ms;

/// The first request to each of many gates is sent again with a reading of the gate's clock.
constexpr std::uint32_t max_extra_attempts = 14;

/// Gates accept readings of up to 30 s. The rest is for the time on the way.
constexpr duration clock_reading_lifetime = 20s;

/// Bodies up to this size are buffered whole before they are relayed, so that an answer that breaks
/// off can still be replaced by that of another upstream.
constexpr std::size_t body_buffer_limit = 1024 * 1024;

/// Whether an attempt still awaits its answer or the report of its execution status.
bool is_pending(const ingress_attempt& attempt)
{
    return attempt.m_phase == attempt_phase::sent || attempt.m_phase == attempt_phase::cancelling;
}

std::int64_t clock_reading_for(const host_state& self, const reducer_context& context,
                               const routing::upstream_location& target)
{
    const auto& name = target.m_upstream.m_host;
    if (name == context.m_settings.m_self.m_name) {
        return gate::clock_reading(context.m_now);
    }
    const auto found = self.m_ingress.m_gate_clock_readings.find(name);
    const bool is_usable = found != self.m_ingress.m_gate_clock_readings.end() &&
                           found->second.m_incarnation == target.m_gate_incarnation &&
                           context.m_now - found->second.m_learned_at < clock_reading_lifetime;
    return is_usable ? found->second.m_clock : 0;
}

/// Returns the time until the route's latency target passes, at most `timeout_left`.
std::chrono::milliseconds time_to_latency_target(const ingress_request& request, instant now,
                                                 std::chrono::milliseconds timeout_left)
{
    const auto target = request.m_route->m_latency_target;
    // A request without an organisation may be a call of an upstream. The latency target does not
    // apply to it, because the caller of that upstream still waits after the target has passed.
    if (target == duration{} || request.m_organisation.empty()) {
        return std::max(timeout_left, std::chrono::milliseconds{1});
    }
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(request.m_arrived_at + target - now);
    return std::clamp(left, std::chrono::milliseconds{1},
                      std::max(timeout_left, std::chrono::milliseconds{1}));
}

repeat_permission repeat_of(const ingress_request& request)
{
    return request.m_idempotency == routing::idempotency::idempotent ? repeat_permission::allowed
                                                                     : repeat_permission::forbidden;
}

attempt_metadata metadata_for(const reducer_context& context, const ingress_request& request,
                              const ingress_attempt& attempt)
{
    const auto timeout_left = std::chrono::duration_cast<std::chrono::milliseconds>(
        request.m_deadline - context.m_now - gate_refusal_margin);
    return {attempt.m_id,
            attempt.m_destination.m_gate_incarnation,
            attempt.m_destination.m_upstream.m_endpoint,
            request.m_service,
            request.m_route->m_name,
            request.m_document->m_name,
            request.m_organisation,
            request.m_revision,
            request.m_fingerprint,
            std::max(timeout_left, std::chrono::milliseconds{1}),
            attempt.m_has_large_answer
                ? std::max(timeout_left, std::chrono::milliseconds{1})
                : time_to_latency_target(request, context.m_now, timeout_left),
            attempt.m_gate_clock,
            repeat_of(request),
            attempt.m_queueing,
            attempt.m_circuit_breaker_mode,
            request.m_priority,
            request.m_crashed_run};
}

request_head head_for(const reducer_context& context, const ingress_request& request,
                      const ingress_attempt& attempt)
{
    auto head = request.m_phase == ingress_phase::resuming
                    ? make_range_request(request.m_head, request.m_answer)
                    : request.m_head;
    add_attempt_metadata(head, metadata_for(context, request, attempt), request.m_body_hash,
                         context.m_settings.m_shared_secret);
    return head;
}

/// Sets when the gate is first asked for the execution status of an attempt that has no answer.
void set_inquiry_delay(const host_state& self, const reducer_context& context,
                       const ingress_request& request, ingress_attempt& attempt)
{
    const auto& name = request.m_route->m_name;
    const auto limit =
        probing::is_enabled(context)
            ? silence_threshold(self.m_ingress.m_latencies, name, request.m_route->m_timeout)
            : silence_limit(self.m_health, request.m_service, name, request.m_route->m_timeout);
    if (limit) {
        attempt.m_inquiry_delay = *limit;
        attempt.m_next_inquiry = context.m_now + *limit;
    }
}

request_outcome overall_outcome(const ingress_request& request)
{
    const bool none_ran = std::all_of(request.m_attempts.begin(), request.m_attempts.end(),
                                      [](const ingress_attempt& attempt) {
                                          return attempt.m_phase == attempt_phase::ended &&
                                                 attempt.m_outcome == request_outcome::not_run &&
                                                 !attempt.m_may_have_late_duplicate;
                                      });
    return none_ran ? request_outcome::not_run : request_outcome::unknown;
}

/// Returns the kind of a refusal that tells callers the outcome: they take the statuses 429 and 503
/// to mean that the request did not run, and all others to mean that it may have run.
refusal_kind kind_by_outcome(const refusal& reason)
{
    const auto status = status_of(reason.m_kind);
    const bool promises_not_run = status == 503 || status == 429;
    if (reason.m_outcome == request_outcome::unknown) {
        return promises_not_run ? refusal_kind::upstream_failed : reason.m_kind;
    }
    switch (reason.m_kind) {
    case refusal_kind::upstream_failed:
        return refusal_kind::unreachable;
    case refusal_kind::deadline_exceeded:
        return refusal_kind::overloaded;
    default:
        return reason.m_kind;
    }
}

void set_hedge_time(const host_state& self, const reducer_context& context,
                    ingress_request& request)
{
    const auto& route = *request.m_route;
    if (route.m_hedging == hedging::off ||
        request.m_idempotency == routing::idempotency::not_idempotent) {
        return;
    }
    const auto expected =
        health::adaptive_timeout(self.m_health, request.m_service, route.m_name, route.m_timeout);
    if (expected < route.m_timeout) {
        request.m_hedge_at = context.m_now + expected;
    }
}

void mark_attempt_ended(host_state& self, ingress_attempt& attempt, const refusal& reason)
{
    assert(attempt.m_phase != attempt_phase::ended);
    self.m_ingress.m_by_transfer.erase(attempt.m_transfer);
    attempt.m_phase = attempt_phase::ended;
    attempt.m_outcome = reason.m_outcome;
    attempt.m_end_reason = reason.m_kind;
    attempt.m_next_inquiry = instant::max();
}

/// Waits for another pending attempt, sends the next attempt, or ends the request.
void continue_request(host_state& self, reducer_context& context, ingress_request& request,
                      const refusal& reason)
{
    if (has_pending_attempt(request)) {
        send_beside_stalled_attempts(self, context, request, reason);
        reschedule(self.m_ingress, request);
        return;
    }
    const auto target = find_destination(self, context, request);
    if (target && reason.m_kind != refusal_kind::quarantined &&
        spend_budget_for_attempt(self, context, request, reason)) {
        send_attempt(self, context, request, *target);
        return;
    }
    fail_request(self, context, request, reason);
}

} // namespace

void start_first_attempt(host_state& self, reducer_context& context, ingress_request& request)
{
    request.m_phase = ingress_phase::awaiting_answer;
    earn_retries(self.m_ingress.m_retry_budget, request.m_service,
                 probing::retry_budget_settings_of(self, context));
    const auto planned = plan_first_attempt(self, context, request);
    if (const auto* reason = std::get_if<refusal>(&planned)) {
        fail_request(self, context, request, *reason);
        return;
    }
    set_hedge_time(self, context, request);
    send_attempt(self, context, request, std::get<destination>(planned));
}

void send_attempt(host_state& self, reducer_context& context, ingress_request& request,
                  const destination& target)
{
    ingress_attempt attempt;
    const auto number = static_cast<std::uint32_t>(request.m_attempts.size() + 1);
    attempt.m_id = {context.m_settings.m_self, request.m_number, number};
    attempt.m_transfer = next_id(context);
    attempt.m_destination = target.m_location;
    attempt.m_queueing = target.m_queueing;
    attempt.m_circuit_breaker_mode = target.m_circuit_breaker_mode;
    attempt.m_has_large_answer = probing::has_large_answers(self, request);
    attempt.m_gate_clock = clock_reading_for(self, context, target.m_location);
    attempt.m_may_have_late_duplicate =
        attempt.m_gate_clock == 0 && request.m_idempotency == routing::idempotency::idempotent;
    attempt.m_started_at = context.m_now;
    set_inquiry_delay(self, context, request, attempt);
    const auto& gate = target.m_location.m_gate;
    start_transfer transfer{attempt.m_transfer,
                            request.m_exchange,
                            gate.m_ip,
                            gate.m_gate_port,
                            head_for(context, request, attempt),
                            target.m_connection_reuse,
                            probing::is_enabled(context) ? probing_connect_timeout
                                                         : connect_timeout,
                            stall_timeout};
    transfer.m_body_buffer_limit = probing::is_enabled(context) ? body_buffer_limit : 0;
    emit(context, std::move(transfer));
    self.m_ingress.m_by_transfer[attempt.m_transfer] = request.m_exchange;
    request.m_attempts.push_back(std::move(attempt));
    reschedule(self.m_ingress, request);
}

bool spend_budget_for_attempt(host_state& self, reducer_context& context,
                              const ingress_request& request, const refusal& reason)
{
    const auto outcome = reason.m_outcome;
    if (request.m_deadline <= context.m_now) {
        return false;
    }
    if (probing::is_enabled(context)) {
        return probing::spend_budget_for_attempt(self, request, reason);
    }
    const auto limit =
        request.m_route->m_attempts + request.m_extra_attempts + request.m_answer.m_resumptions;
    if (request.m_attempts.size() >= limit) {
        return false;
    }
    auto& budget = self.m_ingress.m_retry_budget;
    const auto& service = request.m_service;
    if (outcome == request_outcome::not_run) {
        return spend_reroute(budget, service);
    }
    return request.m_idempotency == routing::idempotency::idempotent &&
           spend_retry(budget, service, context.m_now);
}

void end_attempt(host_state& self, reducer_context& context, ingress_request& request,
                 ingress_attempt& attempt, const refusal& reason)
{
    mark_attempt_ended(self, attempt, reason);
    continue_request(self, context, request, reason);
}

void resend_to_same_gate(host_state& self, reducer_context& context, ingress_request& request,
                         ingress_attempt& attempt, connection_reuse reuse)
{
    constexpr refusal reason{refusal_kind::upstream_failed, request_outcome::not_run, 1s};
    mark_attempt_ended(self, attempt, reason);
    attempt.m_may_have_reached_upstream = false;
    if (request.m_extra_attempts >= max_extra_attempts || has_pending_attempt(request)) {
        continue_request(self, context, request, reason);
        return;
    }
    ++request.m_extra_attempts;
    send_attempt(self, context, request,
                 {routing::upstream_location{attempt.m_destination}, reuse, attempt.m_queueing,
                  attempt.m_circuit_breaker_mode});
}

void send_beside_stalled_attempts(host_state& self, reducer_context& context,
                                  ingress_request& request, const refusal& reason)
{
    const bool is_answer_expected = std::any_of(
        request.m_attempts.begin(), request.m_attempts.end(),
        [](const ingress_attempt& each) { return is_pending(each) && !each.m_is_stalled; });
    if (is_answer_expected || request.m_idempotency != routing::idempotency::idempotent) {
        return;
    }
    const auto target = find_destination(self, context, request);
    if (!target) {
        return;
    }
    const auto& upstream = target->m_location.m_upstream;
    const bool is_pending_there = std::any_of(
        request.m_attempts.begin(), request.m_attempts.end(), [&](const ingress_attempt& each) {
            return is_pending(each) && each.m_destination.m_upstream == upstream;
        });
    if (!is_pending_there && spend_budget_for_attempt(self, context, request, reason)) {
        send_attempt(self, context, request, *target);
    }
}

void cancel_attempt(host_state& self, reducer_context& context, ingress_attempt& attempt)
{
    if (self.m_ingress.m_by_transfer.erase(attempt.m_transfer) > 0) {
        emit(context, cancel_transfer{attempt.m_transfer});
    }
}

void fail_request(host_state& self, reducer_context& context, ingress_request& request,
                  refusal reason)
{
    reason.m_outcome = overall_outcome(request);
    reason.m_kind = kind_by_outcome(reason);
    log_refusal(self, context, request, reason);
    record_failed_upstream_call(self, request, context.m_now);
    if (request.m_phase == ingress_phase::relaying || request.m_phase == ingress_phase::resuming) {
        emit(context, abort_exchange{request.m_exchange});
    }
    else {
        emit(context, make_refusal(request.m_exchange, reason));
    }
    for (auto& attempt : request.m_attempts) {
        cancel_attempt(self, context, attempt);
    }
    remove_request(self, request);
}

void fail_all_requests(host_state& self, reducer_context& context)
{
    std::vector<exchange_id> exchanges;
    for (const auto& [exchange, request] : self.m_ingress.m_requests) {
        exchanges.push_back(exchange);
    }
    for (const auto exchange : exchanges) {
        fail_request(self, context, self.m_ingress.m_requests.at(exchange),
                     {refusal_kind::leaving, request_outcome::not_run, 1s});
    }
}

void remove_request(host_state& self, ingress_request& request)
{
    auto& state = self.m_ingress;
    for (const auto& attempt : request.m_attempts) {
        state.m_by_transfer.erase(attempt.m_transfer);
    }
    state.m_due_requests.erase({request.m_due_at, request.m_exchange});
    state.m_by_number.erase(request.m_number);
    state.m_requests.erase(exchange_id{request.m_exchange});
}

void reschedule(ingress_state& state, ingress_request& request)
{
    auto due = request.m_phase == ingress_phase::relaying ? instant::max() : request.m_deadline;
    if (request.m_phase == ingress_phase::awaiting_answer) {
        due = std::min(due, request.m_hedge_at);
    }
    for (const auto& attempt : request.m_attempts) {
        due = std::min(due, attempt.m_next_inquiry);
    }
    if (due == request.m_due_at) {
        return;
    }
    state.m_due_requests.erase({request.m_due_at, request.m_exchange});
    request.m_due_at = due;
    if (due != instant::max()) {
        state.m_due_requests.insert({due, request.m_exchange});
    }
}

void record_failed_upstream_call(host_state& self, const ingress_request& request, instant now)
{
    if (request.m_organisation.empty()) {
        record_failed_call(self.m_failed_upstream_calls, now);
    }
}

bool has_pending_attempt(const ingress_request& request)
{
    return std::any_of(request.m_attempts.begin(), request.m_attempts.end(), is_pending);
}

} // namespace chivevane::ingress
