#include "libpolicy/gate/run_outcomes.h"

#include "libpolicy/admission/admission.h"
#include "libpolicy/gate/gate_answers.h"
#include "libpolicy/host_state.h"

#include <fmt/format.h>

namespace chivevane::gate {

namespace {

/// Logs a run without a good outcome, with the state of the circuit before that outcome.
void record_failed_run(reducer_context& context, const gate_attempt& attempt,
                       const upstream_circuit& before, circuit::run_outcome outcome)
{
    const auto& metadata = attempt.m_metadata;
    emit(context,
         record_event{
             "run-failed",
             {{"request",
               std::string{
                   find_field(attempt.m_head.m_fields, "X-Caller-Request-Id").value_or("-")}},
              {"attempt", to_string(metadata.m_attempt)},
              {"endpoint", metadata.m_endpoint},
              {"route", metadata.m_route},
              {"outcome", std::string{circuit::to_string(outcome)}},
              {"ran_ms", std::to_string(to_milliseconds(context.m_now - attempt.m_handed_over_at))},
              {"circuit", std::string{circuit::to_string(before.m_phase)}},
              {"doubt", fmt::format("{:.2f}", before.m_failure_log_odds)},
              {"trial", attempt.m_is_trial ? "yes" : "no"},
              {"insisted",
               metadata.m_circuit_breaker_mode == circuit_breaker_mode::enforce ? "no" : "yes"},
              {"repeatable", attempt.m_repeat == gate_repeat::forbidden ? "no" : "yes"}},
             record_target::timeline_and_log});
}

std::string_view to_string(gate_phase phase)
{
    switch (phase) {
    case gate_phase::held:
        return "held";
    case gate_phase::queued:
        return "queued";
    case gate_phase::running:
        return "running";
    case gate_phase::relaying:
        return "relaying";
    }
    return "unknown";
}

} // namespace

void record_abandoned_attempt(reducer_context& context, const gate_attempt& attempt)
{
    emit(context,
         record_event{"attempt-abandoned",
                      {{"attempt", to_string(attempt.m_metadata.m_attempt)},
                       {"endpoint", attempt.m_metadata.m_endpoint},
                       {"phase", std::string{to_string(attempt.m_phase)}},
                       {"repeatable", attempt.m_repeat == gate_repeat::forbidden ? "no" : "yes"}},
                      record_target::timeline_and_log});
}

std::vector<http_field> load_fields(const host_state& self, std::string_view endpoint)
{
    const auto found = self.m_gate.m_upstreams.find(endpoint);
    if (found == self.m_gate.m_upstreams.end() ||
        self.m_settings.m_placement != placement_mode::probing) {
        return {};
    }
    response_head head;
    add_load_field(head, admission::load_of(self.m_admission, endpoint),
                   found->second.m_latest.m_slots);
    return std::move(head.m_fields);
}

std::vector<http_field> refusal_fields(const host_state& self, const gate_attempt& attempt)
{
    auto fields = load_fields(self, attempt.m_metadata.m_endpoint);
    if (attempt.m_metadata.m_gate_clock == 0) {
        fields.push_back({std::string{final_refusal_field}, "1"});
    }
    return fields;
}

void record_run_outcome(host_state& self, reducer_context& context, gate_attempt& attempt,
                        circuit::run_outcome outcome)
{
    const auto found = self.m_gate.m_upstreams.find(attempt.m_metadata.m_endpoint);
    const bool is_of_this_run = found != self.m_gate.m_upstreams.end() &&
                                found->second.m_latest.m_run == attempt.m_upstream_run;
    if (attempt.m_is_outcome_recorded || !is_of_this_run ||
        context.m_settings.m_placement != placement_mode::probing) {
        return;
    }
    attempt.m_is_outcome_recorded = true;
    const auto before = found->second.m_circuit.m_phase;
    if (outcome != circuit::run_outcome::good) {
        record_failed_run(context, attempt, found->second.m_circuit, outcome);
    }
    circuit::record_outcome(found->second.m_circuit, outcome, context.m_now);
    if (outcome == circuit::run_outcome::good) {
        record_latency(found->second.m_latencies, attempt.m_metadata.m_route, attempt.m_latency);
    }
    if (const auto after = found->second.m_circuit.m_phase; after != before) {
        emit(context, record_event{"circuit-changed",
                                   {{"endpoint", found->first},
                                    {"phase", std::string{circuit::to_string(after)}},
                                    {"attempt", to_string(attempt.m_metadata.m_attempt)},
                                    {"stay_ms", std::to_string(to_milliseconds(
                                                    found->second.m_circuit.m_open_duration))}},
                                   record_target::timeline_and_log});
    }
}

} // namespace chivevane::gate
