#include "libpolicy/ingress/answers.h"

#include "libpolicy/forwarding.h"
#include "libpolicy/gate/gate_answers.h"
#include "libpolicy/health/health.h"
#include "libpolicy/host_state.h"
#include "libpolicy/ingress/attempts.h"
#include "libpolicy/ingress/execution_inquiries.h"
#include "libpolicy/ingress/request_log.h"
#include "libpolicy/membership/membership.h"
#include "libwire/attempt_metadata.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace chivevane::ingress {

namespace {

constexpr std::size_t max_gate_clock_readings = 4096; // One ingress sends to fewer hosts.

std::optional<duration> retry_after_of(const response_head& head)
{
    const auto digits = find_field(head.m_fields, "Retry-After").value_or("");
    int seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return seconds > 0 ? std::optional<duration>{std::chrono::seconds{seconds}} : std::nullopt;
}

/// Stores which run of an upstream broke off on the request. The next attempt passes it on, so that
/// the next gate also suspects the request of crashing upstreams.
void record_crashed_run(host_state& self, reducer_context& context, ingress_request& request,
                        const response_head& head)
{
    const auto crashed_run = find_field(head.m_fields, crashed_run_field);
    if (!crashed_run) {
        return;
    }
    request.m_crashed_run = *crashed_run;
    quarantine::add_crashed_run(self.m_gate.m_quarantine, request.m_fingerprint, *crashed_run,
                                context.m_now);
}

/// Whether the status means that this upstream failed and another one may still succeed.
bool is_retriable(const reducer_context& context, const response_head& head)
{
    const bool is_own_failure =
        head.m_status == 500 && context.m_settings.m_placement == placement_mode::probing;
    return is_own_failure || head.m_status == 502 || head.m_status == 503 || head.m_status == 504;
}

/// Parses the load field of a gate, which has the form running/slots/queued. Returns the number of
/// running and queued attempts per slot.
std::optional<double> parse_load(const response_head& head)
{
    const auto text = find_field(head.m_fields, load_field).value_or("");
    std::array<double, 3> numbers{};
    const auto* position = text.data();
    const auto* const end = text.data() + text.size();
    for (auto& number : numbers) {
        std::uint32_t value = 0;
        const auto [stop, problem] = std::from_chars(position, end, value);
        if (problem != std::errc{}) {
            return std::nullopt;
        }
        number = value;
        position = stop == end ? stop : stop + 1;
    }
    return (numbers[0] + numbers[2]) / std::max(1.0, numbers[1]);
}

/// Updates this host's record of the upstream according to the kind of its gate's refusal.
void record_gate_refusal(host_state& self, const ingress_request& request,
                         const ingress_attempt& attempt, refusal_kind kind, instant now)
{
    auto& state = self.m_ingress;
    const auto& upstream = attempt.m_destination.m_upstream;
    const auto* const host = membership::find_member(self.m_membership, upstream.m_host);
    const bool is_in_own_datacentre =
        host != nullptr && host->m_record.m_datacentre == self.m_settings.m_datacentre;
    const auto datacentre =
        is_in_own_datacentre ? placement::gate_datacentre::own : placement::gate_datacentre::other;
    switch (kind) {
    case refusal_kind::overloaded:
        placement::record_full_queue(state.m_destinations, upstream, datacentre, request.m_priority,
                                     now);
        [[fallthrough]];
    case refusal_kind::busy:
        placement::record_busy(state.m_destinations, upstream, datacentre, now);
        break;
    case refusal_kind::circuit_open:
    case refusal_kind::no_upstream:
    case refusal_kind::leaving:
    case refusal_kind::upstream_failed:
        placement::record_open_circuit(state.m_destinations, upstream, now);
        break;
    default:
        break;
    }
}

/// Whether the gate refused the attempt by itself, without handing it to the upstream.
bool is_from_gate(refusal_kind kind, bool not_run)
{
    return not_run && kind != refusal_kind::upstream_refused;
}

/// Sends the request to another upstream instead of relaying the answer. Returns false if there is
/// no other upstream or the retry budget is used up.
bool retry_on_other_upstream(host_state& self, reducer_context& context,
                             const attempt_reference& reference)
{
    const auto& [request, attempt] = reference;
    const auto target = find_destination(self, context, request);
    if (!target || target->m_location.m_upstream == attempt.m_destination.m_upstream ||
        !spend_budget_for_attempt(self, context, request,
                                  {refusal_kind::upstream_failed, request_outcome::unknown})) {
        return false;
    }
    cancel_attempt(self, context, attempt);
    attempt.m_phase = attempt_phase::ended;
    attempt.m_next_inquiry = instant::max();
    send_attempt(self, context, request, *target);
    return true;
}

void start_relay(host_state& self, reducer_context& context, const attempt_reference& reference,
                 std::optional<response_head> head)
{
    const auto& [request, attempt] = reference;
    attempt.m_phase = attempt_phase::answered;
    attempt.m_next_inquiry = instant::max();
    for (auto& other : request.m_attempts) {
        if (&other != &attempt && other.m_phase != attempt_phase::ended) {
            cancel_attempt(self, context, other);
            other.m_phase = attempt_phase::ended;
            other.m_next_inquiry = instant::max();
        }
    }
    request.m_phase = ingress_phase::relaying;
    emit(context, relay_transfer{attempt.m_transfer, request.m_exchange, std::move(head)});
    reschedule(self.m_ingress, request);
}

/// Handles an answer that broke off while it was relayed: requests the remaining bytes from another
/// upstream, or aborts the caller's connection.
void resume_or_abort(host_state& self, reducer_context& context, const attempt_reference& reference)
{
    const auto& [request, attempt] = reference;
    const refusal reason{refusal_kind::upstream_failed, request_outcome::unknown};
    self.m_ingress.m_by_transfer.erase(attempt.m_transfer);
    attempt.m_phase = attempt_phase::ended;
    const auto target = find_destination(self, context, request);
    if (!target || !may_resume(request.m_answer) ||
        !spend_retry(self.m_ingress.m_retry_budget, request.m_service, context.m_now)) {
        fail_request(self, context, request, reason);
        return;
    }
    ++request.m_answer.m_resumptions;
    request.m_phase = ingress_phase::resuming;
    request.m_deadline = context.m_now + request.m_route->m_timeout;
    send_attempt(self, context, request, *target);
}

} // namespace

void report_observation(host_state& self, reducer_context& context,
                        const attempt_reference& reference, observed_result result)
{
    const auto& [request, attempt] = reference;
    health::record_observation(self.m_health, context,
                               {attempt.m_destination.m_upstream, request.m_service,
                                request.m_route->m_name, observer::ingress, result,
                                context.m_now - attempt.m_started_at});
}

void handle_lost_answer(host_state& self, reducer_context& context,
                        const attempt_reference& reference, refusal_kind kind)
{
    const auto& [request, attempt] = reference;
    if (request.m_idempotency == routing::idempotency::idempotent) {
        end_attempt(self, context, request, attempt, {kind, request_outcome::unknown});
        return;
    }
    begin_cancellation(self, context, request, attempt);
}

void record_gate_status(ingress_state& state, const ingress_attempt& attempt,
                        const response_head& head, instant now)
{
    const auto digits = find_field(head.m_fields, gate_clock_field).value_or("");
    const auto& upstream = attempt.m_destination.m_upstream;
    placement::record_answer(state.m_destinations, upstream);
    if (const auto load = parse_load(head)) {
        placement::record_load(state.m_destinations, upstream, *load, now);
    }
    std::int64_t reading = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), reading);
    if (reading <= 0) {
        return;
    }
    if (state.m_gate_clock_readings.size() >= max_gate_clock_readings) {
        state.m_gate_clock_readings.clear(); // The next answers bring the readings again.
    }
    const auto& destination = attempt.m_destination;
    state.m_gate_clock_readings[destination.m_upstream.m_host] = {destination.m_gate_incarnation,
                                                                  reading, now};
}

void handle_gate_refusal(host_state& self, reducer_context& context,
                         const attempt_reference& reference, const response_head& head,
                         std::string_view reason)
{
    const auto& [request, attempt] = reference;
    const bool not_run = find_field(head.m_fields, execution_status_field) == "not-run";
    const auto retry_after = retry_after_of(head);
    if (find_field(head.m_fields, final_refusal_field)) {
        attempt.m_may_have_late_duplicate = false;
    }
    record_crashed_run(self, context, request, head);
    cancel_attempt(self, context, attempt);
    if (not_run && reason == gate::clock_required) {
        resend_to_same_gate(self, context, request, attempt, connection_reuse::allowed);
        return;
    }
    const auto kind = parse_refusal_kind(reason).value_or(refusal_kind::upstream_failed);
    attempt.m_may_have_reached_upstream = !is_from_gate(kind, not_run);
    record_gate_refusal(self, request, attempt, kind, context.m_now);
    end_attempt(self, context, request, attempt,
                {kind, not_run ? request_outcome::not_run : request_outcome::unknown, retry_after});
}

void handle_answer(host_state& self, reducer_context& context, const attempt_reference& reference,
                   const response_head& head)
{
    const auto& [request, attempt] = reference;
    if (request.m_phase == ingress_phase::resuming) {
        if (is_remaining_range(request.m_answer, head)) {
            start_relay(self, context, reference, std::nullopt);
            return;
        }
        cancel_attempt(self, context, attempt);
        end_attempt(self, context, request, attempt,
                    {refusal_kind::upstream_failed, request_outcome::unknown});
        return;
    }
    if (head.m_status < 500) {
        record_latency(self.m_ingress.m_latencies, request.m_route->m_name,
                       context.m_now - attempt.m_started_at);
    }
    if (is_retriable(context, head) && retry_on_other_upstream(self, context, reference)) {
        return;
    }
    if (head.m_status >= 500) {
        record_failed_upstream_call(self, request, context.m_now);
        log_failure(self, context, request, attempt, head.m_status);
    }
    request.m_answer = make_relayed_answer(request.m_head, head);
    start_relay(self, context, reference, forwardable_response(head));
}

void handle_relay_end(host_state& self, reducer_context& context,
                      const attempt_reference& reference, const transfer_ended& end)
{
    auto& request = reference.m_request;
    const bool is_complete = is_body_complete(request.m_answer, end.m_body_bytes) &&
                             (end.m_end == transfer_end::complete || request.m_answer.m_length);
    request.m_answer.m_relayed += end.m_body_bytes;
    if (is_complete) {
        record_size(self.m_ingress.m_latencies, request.m_route->m_name,
                    request.m_answer.m_relayed);
        emit(context, finish_exchange{request.m_exchange});
        remove_request(self, request);
        return;
    }
    report_observation(self, context, reference,
                       end.m_end == transfer_end::connection_lost ? observed_result::unreachable
                                                                  : observed_result::corrupted);
    resume_or_abort(self, context, reference);
}

} // namespace chivevane::ingress
