#include "libpolicy/gate/upstream_answers.h"

#include "libpolicy/forwarding.h"
#include "libpolicy/gate/crash_reports.h"
#include "libpolicy/gate/gate_answers.h"
#include "libpolicy/gate/local_upstreams.h"
#include "libpolicy/gate/run_outcomes.h"
#include "libpolicy/gate/running_attempts.h"
#include "libpolicy/gate/upstream_statements.h"
#include "libpolicy/host_state.h"
#include "libpolicy/refusal.h"
#include "libwire/status_code.h"

namespace chivevane::gate {

namespace {

/// Field of an upstream's answer by which it promises that the request did not and will not run.
constexpr std::string_view not_run_field = "X-Not-Run";

constexpr std::uint16_t status_misdirected = 421; // RFC 9110 section 15.5.20

bool is_load_refusal(const response_head& head)
{
    return head.m_status == 429 || head.m_status == 503;
}

bool answers_other_request(const response_head& head, const attempt_id& id)
{
    const auto echo = find_field(head.m_fields, "X-Request-Id");
    return echo && *echo != to_string(id);
}

void end_without_answer(host_state& self, reducer_context& context, const attempt_id& id,
                        const transfer_ended& end)
{
    auto& attempt = self.m_gate.m_attempts.at(id);
    const bool never_sent =
        end.m_end == transfer_end::connect_failed && attempt.m_repeat != gate_repeat::used;
    record_run_outcome(self, context, attempt, circuit::run_outcome::failed);
    std::string crashed_run;
    if (end.m_end == transfer_end::connection_lost || end.m_end == transfer_end::truncated) {
        crashed_run = report_broken_connection(self, context, attempt);
    }
    report_observation(self, context, attempt, run_observation::ended_without_answer);
    const auto outcome = never_sent ? request_outcome::not_run : request_outcome::unknown;
    answer_refusal(context, attempt.m_exchange, id, {refusal_kind::upstream_failed, outcome},
                   crashed_run,
                   never_sent ? refusal_fields(self, attempt)
                              : load_fields(self, attempt.m_metadata.m_endpoint));
    end_run(self, context, id,
            never_sent ? execution_status::not_run : execution_status::may_have_run);
}

/// The outcome that an answer shows. A server error says nothing about the upstream when a failed
/// call of the upstream to another service can explain it.
circuit::run_outcome outcome_of(host_state& self, const gate_attempt& attempt,
                                const response_head& head)
{
    if (head.m_status < 500) {
        return circuit::run_outcome::good;
    }
    return consume_failed_call(self.m_failed_upstream_calls, attempt.m_handed_over_at)
               ? circuit::run_outcome::caused_by_dependency
               : circuit::run_outcome::failed;
}

/// Ends an attempt whose upstream answered that it did not run the request.
void end_refused_by_upstream(host_state& self, reducer_context& context, const attempt_id& id,
                             const transfer_head& answer)
{
    auto& attempt = self.m_gate.m_attempts.at(id);
    emit(context, cancel_transfer{answer.m_transfer});
    attempt.m_phase = gate_phase::relaying;
    attempt.m_latency = context.m_now - attempt.m_handed_over_at;
    attempt.m_is_load_refused = is_load_refusal(answer.m_head);
    if (answer.m_head.m_status == status_misdirected) {
        const auto upstream = self.m_gate.m_upstreams.find(attempt.m_metadata.m_endpoint);
        if (upstream != self.m_gate.m_upstreams.end()) {
            upstream->second.m_is_replaced = true;
        }
    }
    else {
        record_run_outcome(self, context, attempt, circuit::run_outcome::refused);
    }
    answer_refusal(context, attempt.m_exchange, id,
                   {refusal_kind::upstream_refused, request_outcome::not_run, 1s}, {},
                   refusal_fields(self, attempt));
    end_run(self, context, id, execution_status::not_run);
}

/// Ends an attempt whose upstream sent something that is no answer to it, as a failure of the
/// upstream. The request may have run.
void end_with_unusable_answer(host_state& self, reducer_context& context, const attempt_id& id,
                              transfer_id transfer, run_observation observation)
{
    auto& attempt = self.m_gate.m_attempts.at(id);
    emit(context, cancel_transfer{transfer});
    record_run_outcome(self, context, attempt, circuit::run_outcome::failed);
    report_observation(self, context, attempt, observation);
    answer_refusal(context, attempt.m_exchange, id,
                   {refusal_kind::upstream_failed, request_outcome::unknown});
    end_run(self, context, id, execution_status::may_have_run);
}

void end_relay(host_state& self, reducer_context& context, const attempt_id& id,
               const transfer_ended& end)
{
    const auto& attempt = self.m_gate.m_attempts.at(id);
    if (end.m_end == transfer_end::complete) {
        emit(context, finish_exchange{attempt.m_exchange});
        report_survival(self, context, attempt);
    }
    else {
        emit(context, abort_exchange{attempt.m_exchange});
        report_observation(self, context, attempt, run_observation::truncated);
        if (end.m_end != transfer_end::stalled) {
            report_broken_connection(self, context, attempt);
        }
    }
    end_run(self, context, id, execution_status::may_have_run);
}

} // namespace

void on_transfer_head(host_state& self, reducer_context& context, const transfer_head& answer)
{
    auto& state = self.m_gate;
    const attempt_id id = state.m_by_transfer.at(answer.m_transfer);
    auto& attempt = state.m_attempts.at(id);
    if (!answers_other_request(answer.m_head, id)) {
        apply_statements(self, context, attempt, answer.m_head);
        if (is_leaving(state, attempt.m_metadata.m_endpoint)) {
            refuse_queued(self, context, attempt.m_metadata.m_endpoint);
        }
    }
    if (response_kind_of(answer.m_head.m_status) != response_kind::final) {
        end_with_unusable_answer(self, context, id, answer.m_transfer,
                                 run_observation::ended_without_answer);
        return;
    }
    if (find_field(answer.m_head.m_fields, not_run_field)) {
        end_refused_by_upstream(self, context, id, answer);
        return;
    }
    if (answers_other_request(answer.m_head, id)) {
        end_with_unusable_answer(self, context, id, answer.m_transfer,
                                 run_observation::answered_other_request);
        return;
    }
    attempt.m_phase = gate_phase::relaying;
    state.m_due.erase({attempt.m_due, id});
    attempt.m_due = instant::max();
    attempt.m_latency = context.m_now - attempt.m_handed_over_at;
    attempt.m_is_load_refused = is_load_refusal(answer.m_head);
    attempt.m_has_failed = answer.m_head.m_status >= 500 && !attempt.m_is_load_refused;
    record_run_outcome(self, context, attempt, outcome_of(self, attempt, answer.m_head));
    if (attempt.m_exchange == 0) {
        emit(context, cancel_transfer{answer.m_transfer});
        end_run(self, context, id, execution_status::may_have_run);
        return;
    }
    auto head = forwardable_response(answer.m_head);
    add_attempt_fields(context, head, id, "run");
    for (auto& field : load_fields(self, attempt.m_metadata.m_endpoint)) {
        head.m_fields.push_back(std::move(field));
    }
    emit(context, relay_transfer{answer.m_transfer, attempt.m_exchange, std::move(head)});
    if (!attempt.m_is_load_refused) {
        report_observation(self, context, attempt, run_observation::answered);
    }
}

void on_transfer_ended(host_state& self, reducer_context& context, const transfer_ended& end)
{
    const attempt_id id = self.m_gate.m_by_transfer.at(end.m_transfer);
    if (end.m_end == transfer_end::caller_left) {
        // Nobody awaits an answer. The first send of a repeated attempt may have run.
        const bool is_repeat = self.m_gate.m_attempts.at(id).m_repeat == gate_repeat::used;
        end_run(self, context, id,
                is_repeat ? execution_status::may_have_run : execution_status::not_run);
        return;
    }
    if (self.m_gate.m_attempts.at(id).m_phase == gate_phase::relaying) {
        end_relay(self, context, id, end);
    }
    else {
        end_without_answer(self, context, id, end);
    }
}

} // namespace chivevane::gate
