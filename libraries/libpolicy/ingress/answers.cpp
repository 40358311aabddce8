#include "libpolicy/ingress/answers.h"

#include "libpolicy/forwarding.h"
#include "libpolicy/gate/gate_answers.h"
#include "libpolicy/health/health.h"
#include "libpolicy/ingress/attempts.h"
#include "libpolicy/ingress/inquiries.h"
#include "libpolicy/ingress/request_log.h"
#include "libpolicy/membership/membership.h"
#include "libpolicy/node_state.h"
#include "libwire/link_head.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace chivevane::ingress {

namespace {

constexpr std::size_t max_gate_readings = 4096; // More hosts than one ingress speaks to.

std::optional<duration> retry_after_of(const response_head& head)
{
    const auto digits = find_field(head.m_fields, "Retry-After").value_or("");
    int seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return seconds > 0 ? std::optional<duration>{std::chrono::seconds{seconds}} : std::nullopt;
}

/// Remembers which run of an upstream broke off on the request, so that the next gate knows.
void note_strike(node_state& node, context& surroundings, ingress_request& request,
                 const response_head& head)
{
    const auto strike = find_field(head.m_fields, strike_field);
    if (!strike) {
        return;
    }
    request.m_strike = *strike;
    quarantine::add_strike(node.m_gate.m_quarantine, request.m_fingerprint, *strike,
                           surroundings.m_now);
}

/// Whether another upstream may answer where this one says that it cannot.
bool is_worth_retry(const context& surroundings, const response_head& head)
{
    const bool is_own_failure =
        head.m_status == 500 && surroundings.m_settings.m_placement == placement_mode::probing;
    return is_own_failure || head.m_status == 502 || head.m_status == 503 || head.m_status == 504;
}

/// Reads the load that a gate told: running/slots/queued. Attempts for each slot.
std::optional<double> load_of(const response_head& head)
{
    const auto text = find_field(head.m_fields, load_field).value_or("");
    std::array<double, 3> numbers{};
    const auto* place = text.data();
    const auto* const end = text.data() + text.size();
    for (auto& number : numbers) {
        std::uint32_t value = 0;
        const auto [stop, problem] = std::from_chars(place, end, value);
        if (problem != std::errc{}) {
            return std::nullopt;
        }
        number = value;
        place = stop == end ? stop : stop + 1;
    }
    return (numbers[0] + numbers[2]) / std::max(1.0, numbers[1]);
}

/// Remembers what the refusal of a gate tells of its upstream.
void note_refusal(node_state& node, const ingress_request& request, const ingress_attempt& attempt,
                  refusal_kind kind, instant now)
{
    auto& state = node.m_ingress;
    const auto& upstream = attempt.m_destination.m_upstream;
    const auto* const host = membership::find_member(node.m_membership, upstream.m_host);
    const bool is_near =
        host != nullptr && host->m_latest.m_datacentre == node.m_settings.m_datacentre;
    const auto distance = is_near ? placement::gate_distance::near : placement::gate_distance::far;
    switch (kind) {
    case refusal_kind::overloaded:
        placement::note_full(state.m_destinations, upstream, distance, request.m_priority, now);
        [[fallthrough]];
    case refusal_kind::busy:
        placement::note_busy(state.m_destinations, upstream, distance, now);
        break;
    case refusal_kind::failing:
    case refusal_kind::no_upstream:
    case refusal_kind::leaving:
    case refusal_kind::upstream_failed:
        placement::note_failing(state.m_destinations, upstream, now);
        break;
    default:
        break;
    }
}

/// Whether a refusal of this kind comes from the gate alone.
bool is_from_gate(refusal_kind kind, bool not_run)
{
    return not_run && kind != refusal_kind::upstream_refused;
}

/// Asks another upstream in place of relaying the answer. False if there is none or no budget.
bool retry_elsewhere(node_state& node, context& surroundings, const found_attempt& about)
{
    const auto& [request, attempt] = about;
    const auto target = find_destination(node, surroundings, request);
    if (!target || target->m_choice.m_upstream == attempt.m_destination.m_upstream ||
        !spend_attempt(node, surroundings, request,
                       {refusal_kind::upstream_failed, request_outcome::unknown})) {
        return false;
    }
    cancel_attempt(node, surroundings, attempt);
    attempt.m_phase = attempt_phase::ended;
    attempt.m_next_inquiry = instant::max();
    send_attempt(node, surroundings, request, *target);
    return true;
}

void relay(node_state& node, context& surroundings, const found_attempt& about,
           std::optional<response_head> head)
{
    const auto& [request, attempt] = about;
    attempt.m_phase = attempt_phase::answered;
    attempt.m_next_inquiry = instant::max();
    for (auto& other : request.m_attempts) {
        if (&other != &attempt && other.m_phase != attempt_phase::ended) {
            cancel_attempt(node, surroundings, other);
            other.m_phase = attempt_phase::ended;
            other.m_next_inquiry = instant::max();
        }
    }
    request.m_phase = ingress_phase::relaying;
    emit(surroundings, relay_transfer{attempt.m_transfer, request.m_exchange, std::move(head)});
    reschedule(node.m_ingress, request);
}

/// The answer broke off: goes on with it elsewhere, or cuts it visibly.
void resume_or_cut(node_state& node, context& surroundings, const found_attempt& about)
{
    const auto& [request, attempt] = about;
    const refusal reason{refusal_kind::upstream_failed, request_outcome::unknown};
    node.m_ingress.m_by_transfer.erase(attempt.m_transfer);
    attempt.m_phase = attempt_phase::ended;
    const auto target = find_destination(node, surroundings, request);
    if (!target || !may_resume(request.m_answer) ||
        !spend_retry(node.m_ingress.m_retry_budget, request.m_service, surroundings.m_now)) {
        conclude(node, surroundings, request, reason);
        return;
    }
    ++request.m_answer.m_resumptions;
    request.m_phase = ingress_phase::resuming;
    request.m_deadline = surroundings.m_now + request.m_route->m_timeout;
    send_attempt(node, surroundings, request, *target);
}

} // namespace

void observe(node_state& node, context& surroundings, const found_attempt& about,
             observed_result seen)
{
    const auto& [request, attempt] = about;
    health::observe(node.m_health, surroundings,
                    {attempt.m_destination.m_upstream, request.m_service, request.m_route->m_name,
                     observer::ingress, seen, surroundings.m_now - attempt.m_started_at});
}

void lose_answer(node_state& node, context& surroundings, const found_attempt& about,
                 refusal_kind kind)
{
    const auto& [request, attempt] = about;
    if (request.m_repeatability == routing::repeatability::idempotent) {
        end_attempt(node, surroundings, request, attempt, {kind, request_outcome::unknown});
        return;
    }
    begin_void(node, surroundings, request, attempt);
}

void learn_from_gate(ingress_state& state, const ingress_attempt& attempt,
                     const response_head& head, instant now)
{
    const auto digits = find_field(head.m_fields, gate_clock_field).value_or("");
    const auto& upstream = attempt.m_destination.m_upstream;
    placement::note_answer(state.m_destinations, upstream);
    if (const auto load = load_of(head)) {
        placement::note_load(state.m_destinations, upstream, *load, now);
    }
    std::int64_t reading = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), reading);
    if (reading <= 0) {
        return;
    }
    if (state.m_gate_readings.size() >= max_gate_readings) {
        state.m_gate_readings.clear(); // They are learned anew with the next answers.
    }
    const auto& destination = attempt.m_destination;
    state.m_gate_readings[destination.m_upstream.m_host] = {destination.m_gate_incarnation, reading,
                                                            now};
}

void take_gate_refusal(node_state& node, context& surroundings, const found_attempt& about,
                       const response_head& head, std::string_view reason)
{
    const auto& [request, attempt] = about;
    const bool not_run = find_field(head.m_fields, fate_field) == "not-run";
    const auto retry_after = retry_after_of(head);
    note_strike(node, surroundings, request, head);
    cancel_attempt(node, surroundings, attempt);
    if (not_run && reason == gate::clock_required) {
        resend_to_same_gate(node, surroundings, request, attempt, connection_choice::reuse);
        return;
    }
    const auto kind = parse_refusal_kind(reason).value_or(refusal_kind::upstream_failed);
    attempt.m_reached_upstream = !is_from_gate(kind, not_run);
    note_refusal(node, request, attempt, kind, surroundings.m_now);
    end_attempt(node, surroundings, request, attempt,
                {kind, not_run ? request_outcome::not_run : request_outcome::unknown, retry_after});
}

void take_answer(node_state& node, context& surroundings, const found_attempt& about,
                 const response_head& head)
{
    const auto& [request, attempt] = about;
    if (request.m_phase == ingress_phase::resuming) {
        if (is_rest_of(request.m_answer, head)) {
            relay(node, surroundings, about, std::nullopt);
            return;
        }
        cancel_attempt(node, surroundings, attempt);
        end_attempt(node, surroundings, request, attempt,
                    {refusal_kind::upstream_failed, request_outcome::unknown});
        return;
    }
    if (head.m_status < 500) {
        note_latency(node.m_ingress.m_latencies, request.m_route->m_name,
                     surroundings.m_now - attempt.m_started_at);
    }
    if (is_worth_retry(surroundings, head) && retry_elsewhere(node, surroundings, about)) {
        return;
    }
    if (head.m_status >= 500) {
        note_failure_of_call(node, request, surroundings.m_now);
        record_failure(node, surroundings, request, attempt, head.m_status);
    }
    request.m_answer = begin_answer(request.m_head, head);
    relay(node, surroundings, about, forwardable_response(head));
}

void end_relay(node_state& node, context& surroundings, const found_attempt& about,
               const transfer_ended& end)
{
    auto& request = about.m_request;
    const bool is_complete = is_whole(request.m_answer, end.m_body_bytes) &&
                             (end.m_end == transfer_end::complete || request.m_answer.m_length);
    request.m_answer.m_relayed += end.m_body_bytes;
    if (is_complete) {
        note_size(node.m_ingress.m_latencies, request.m_route->m_name, request.m_answer.m_relayed);
        emit(surroundings, finish_exchange{request.m_exchange});
        forget_request(node, request);
        return;
    }
    observe(node, surroundings, about,
            end.m_end == transfer_end::broken ? observed_result::unreachable
                                              : observed_result::wrong);
    resume_or_cut(node, surroundings, about);
}

} // namespace chivevane::ingress
