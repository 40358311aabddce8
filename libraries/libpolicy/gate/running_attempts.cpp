#include "libpolicy/gate/running_attempts.h"

#include "libpolicy/admission/admission.h"
#include "libpolicy/configuration/configuration.h"
#include "libpolicy/gate/crash_reports.h"
#include "libpolicy/gate/gate_answers.h"
#include "libpolicy/gate/health_checks.h"
#include "libpolicy/gate/local_upstreams.h"
#include "libpolicy/gate/run_outcomes.h"
#include "libpolicy/gate/shed_attempts.h"
#include "libpolicy/gate/silence_limit.h"
#include "libpolicy/health/health.h"
#include "libpolicy/host_state.h"
#include "libpolicy/membership/membership.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace chivevane::gate {

namespace {

constexpr duration connect_timeout = 1s;

/// Size in bytes up to which an answer is buffered whole before it is passed on, so that another
/// upstream's answer can replace it if it is truncated.
constexpr std::size_t body_buffer_limit = 1024 * 1024;

bool is_probing(const reducer_context& context)
{
    return context.m_settings.m_placement == placement_mode::probing;
}
constexpr duration stall_timeout = 10s;
/// Repeat budget that each run adds, in attempts.
constexpr double repeats_per_run = 0.02; // 10% in all with the 8% that ingresses retry.
constexpr double max_repeat_budget = 2;

void schedule_check(gate_state& state, gate_attempt& attempt, instant due)
{
    state.m_due.erase({attempt.m_due, attempt.m_metadata.m_attempt});
    attempt.m_due = due;
    if (due != instant::max()) {
        state.m_due.insert({due, attempt.m_metadata.m_attempt});
    }
}

/// When a running attempt is next checked: once it has been silent for too long, or at its
/// deadline.
instant next_check_at(const host_state& self, const gate_attempt& attempt, instant now)
{
    const auto& metadata = attempt.m_metadata;
    const auto bound = attempt.m_deadline - attempt.m_handed_over_at;
    const auto upstream = self.m_gate.m_upstreams.find(metadata.m_endpoint);
    const bool is_tracked = self.m_settings.m_placement == placement_mode::probing &&
                            upstream != self.m_gate.m_upstreams.end();
    const auto limit =
        is_tracked ? silence_threshold(upstream->second.m_latencies, metadata.m_route, bound)
                   : silence_limit(self.m_health, metadata.m_service, metadata.m_route, bound);
    return limit ? std::min(attempt.m_deadline, now + *limit) : attempt.m_deadline;
}

void send_to_upstream(host_state& self, reducer_context& context, gate_attempt& attempt,
                      connection_reuse reuse)
{
    auto& state = self.m_gate;
    const auto& upstream = state.m_upstreams.at(attempt.m_metadata.m_endpoint).m_latest;
    attempt.m_transfer = next_id(context);
    state.m_by_transfer[attempt.m_transfer] = attempt.m_metadata.m_attempt;
    auto head = attempt.m_head;
    const auto timeout_left =
        std::max<std::int64_t>(1, to_milliseconds(attempt.m_deadline - context.m_now));
    head.m_fields.push_back({"X-Request-Id", to_string(attempt.m_metadata.m_attempt)});
    head.m_fields.push_back({"X-Request-Timeout-Ms", std::to_string(timeout_left)});
    head.m_fields.push_back({"X-Expected-Endpoint", attempt.m_metadata.m_endpoint});
    if (!attempt.m_metadata.m_organisation.empty()) {
        head.m_fields.push_back({"X-Organisation", attempt.m_metadata.m_organisation});
    }
    start_transfer order{attempt.m_transfer, attempt.m_exchange, upstream.m_ip,
                         upstream.m_port,    std::move(head),    reuse,
                         connect_timeout,    stall_timeout};
    order.m_peer = transfer_peer::upstream;
    order.m_body_buffer_limit = is_probing(context) ? body_buffer_limit : 0;
    emit(context, std::move(order));
    schedule_check(state, attempt, next_check_at(self, attempt, context.m_now));
}

bool is_suspect_runner(const gate_state& state, const gate_attempt& attempt)
{
    const auto found = state.m_quarantine.m_suspects.find(attempt.m_metadata.m_fingerprint);
    return found != state.m_quarantine.m_suspects.end() &&
           found->second.m_running_attempt == attempt.m_metadata.m_attempt;
}

/// Whether an attempt may reuse an idle connection. The upstream can close an idle connection while
/// the request is being sent, and then it is unknown whether the request ran. A request that must
/// not run twice therefore gets a fresh connection or, in placement mode `probing`, where a new
/// connection per request costs too much, one that was used a moment ago.
connection_reuse connection_reuse_for(const reducer_context& context, const gate_state& state,
                                      const gate_attempt& attempt)
{
    if (is_suspect_runner(state, attempt)) {
        return connection_reuse::forbidden;
    }
    if (attempt.m_repeat != gate_repeat::forbidden) {
        return connection_reuse::allowed;
    }
    return is_probing(context) ? connection_reuse::recently_used : connection_reuse::forbidden;
}

/// Hands an attempt over to its upstream. From then on it may have run.
void hand_over(host_state& self, reducer_context& context, const attempt_id& id)
{
    auto& attempt = self.m_gate.m_attempts.at(id);
    auto& upstream = self.m_gate.m_upstreams.at(attempt.m_metadata.m_endpoint);
    upstream.m_repeat_budget =
        std::min(max_repeat_budget, upstream.m_repeat_budget + repeats_per_run);
    attempt.m_phase = gate_phase::running;
    attempt.m_handed_over_at = context.m_now;
    attempt.m_upstream_run = upstream.m_latest.m_run;
    const bool is_idempotent = attempt.m_repeat != gate_repeat::forbidden;
    if (is_probing(context) &&
        circuit::permission_for(upstream.m_circuit, is_idempotent, context.m_now) ==
            circuit::permission::run_as_trial) {
        attempt.m_is_trial = true;
        circuit::begin_trial(upstream.m_circuit);
    }
    send_to_upstream(self, context, attempt, connection_reuse_for(context, self.m_gate, attempt));
}

cold_bounds cold_bounds_of(const host_state& self, const attempt_metadata& metadata)
{
    const auto rate = configuration::cold_rate_of(self.m_configuration, metadata.m_service);
    const auto& tolerance = self.m_settings.m_cold_tolerance;
    return {rate, rate * tolerance.m_factor + tolerance.m_slack};
}

void request_admission(host_state& self, reducer_context& context, const attempt_id& id)
{
    auto& attempt = self.m_gate.m_attempts.at(id);
    const auto& metadata = attempt.m_metadata;
    attempt.m_phase = gate_phase::queued;
    schedule_check(self.m_gate, attempt, instant::max()); // Admission expires queued attempts.
    const queued_attempt queued{
        id,
        metadata.m_endpoint,
        metadata.m_organisation.empty() ? "" : metadata.m_document + "/" + metadata.m_organisation,
        attempt.m_deadline,
        context.m_now + metadata.m_latency_target_left,
        mean_latency(self.m_gate.m_upstreams.at(metadata.m_endpoint).m_latencies, metadata.m_route),
        metadata.m_priority,
        metadata.m_queueing};
    admission::set_cold_bounds(self.m_admission, metadata.m_endpoint,
                               cold_bounds_of(self, metadata));
    self.m_admission.m_overload = context.m_settings.m_overload;
    const auto decision = admission::offer(self.m_admission, queued, context.m_now);
    check_health_if_due(self, context, metadata.m_endpoint);
    switch (decision) {
    case admission::decision::started:
        hand_over(self, context, id);
        break;
    case admission::decision::queued:
        break;
    case admission::decision::refused:
        refuse_attempt(self, context, id,
                       metadata.m_queueing == queueing_permission::forbidden
                           ? refusal_kind::busy
                           : refusal_kind::overloaded);
        break;
    }
    refuse_shed_attempts(self, context);
}

/// Runs a suspected request alone, holds it while another with its fingerprint runs, or refuses it
/// if another host is its owner.
void admit_suspected(host_state& self, reducer_context& context, const attempt_id& id)
{
    auto& state = self.m_gate;
    auto& attempt = state.m_attempts.at(id);
    const auto& metadata = attempt.m_metadata;
    auto& entry = state.m_quarantine.m_suspects.at(metadata.m_fingerprint);
    const auto owner = quarantine::owner_of(state.m_quarantine, self.m_membership,
                                            metadata.m_service, metadata.m_fingerprint);
    const bool is_owner = owner == context.m_settings.m_self.m_name;
    if (!is_owner || entry.m_held_attempts.size() >= quarantine::max_held_attempts) {
        refuse_attempt(self, context, id, refusal_kind::overloaded, entry.m_crashed_runs.front());
        return;
    }
    if (entry.m_running_attempt) {
        attempt.m_phase = gate_phase::held;
        entry.m_held_attempts.push_back(id);
        schedule_check(state, attempt, attempt.m_deadline);
        return;
    }
    entry.m_running_attempt = id;
    request_admission(self, context, id);
}

/// Admits the attempts that were held until the running attempt of a suspected request ended.
void admit_held_attempts(host_state& self, reducer_context& context, std::uint64_t fingerprint)
{
    auto& entry = self.m_gate.m_quarantine.m_suspects.at(fingerprint);
    entry.m_running_attempt.reset();
    const auto held = std::exchange(entry.m_held_attempts, {});
    if (entry.m_crashed_runs.empty()) {
        self.m_gate.m_quarantine.m_suspects.erase(fingerprint);
    }
    for (const auto& id : held) {
        admit(self, context, id);
    }
}

/// Replaces an attempt by its tombstone.
void finish(host_state& self, reducer_context& context, const attempt_id& id,
            execution_status status)
{
    auto& state = self.m_gate;
    const auto found = state.m_attempts.find(id);
    assert(found != state.m_attempts.end());
    const auto attempt = std::move(found->second);
    if (const auto upstream = state.m_upstreams.find(attempt.m_metadata.m_endpoint);
        attempt.m_is_trial && !attempt.m_is_outcome_recorded &&
        upstream != state.m_upstreams.end()) {
        circuit::abandon_trial(upstream->second.m_circuit);
    }
    state.m_due.erase({attempt.m_due, id});
    state.m_by_exchange.erase(attempt.m_exchange);
    state.m_by_transfer.erase(attempt.m_transfer);
    state.m_attempts.erase(found);
    add_tombstone(state.m_tombstones, attempt.m_metadata.m_attempt, status, context.m_now);
    if (status == execution_status::not_run && attempt.m_metadata.m_gate_clock == 0) {
        record_final_refusal(state.m_final_refusals, attempt.m_metadata.m_attempt);
    }
    if (is_suspect_runner(state, attempt)) {
        admit_held_attempts(self, context, attempt.m_metadata.m_fingerprint);
    }
}

admission::run_result result_of(const gate_attempt& attempt)
{
    if (attempt.m_phase != gate_phase::relaying) {
        return admission::run_result::cancelled;
    }
    if (attempt.m_is_load_refused) {
        return admission::run_result::load_refused;
    }
    return attempt.m_has_failed ? admission::run_result::failed : admission::run_result::good;
}

/// Repeats an attempt once on a fresh connection, if it may run twice and the repeat budget allows
/// it.
bool repeat_on_fresh_connection(host_state& self, reducer_context& context, gate_attempt& attempt)
{
    const auto upstream = self.m_gate.m_upstreams.find(attempt.m_metadata.m_endpoint);
    if (attempt.m_repeat != gate_repeat::allowed || upstream == self.m_gate.m_upstreams.end() ||
        upstream->second.m_repeat_budget < 1) {
        return false;
    }
    upstream->second.m_repeat_budget -= 1;
    attempt.m_repeat = gate_repeat::used;
    emit(context, cancel_transfer{attempt.m_transfer});
    self.m_gate.m_by_transfer.erase(attempt.m_transfer);
    send_to_upstream(self, context, attempt, connection_reuse::forbidden);
    return true;
}

void end_at_deadline(host_state& self, reducer_context& context, const attempt_id& id)
{
    auto& attempt = self.m_gate.m_attempts.at(id);
    if (attempt.m_phase == gate_phase::held) {
        remove_from_queue(self, attempt);
        refuse_attempt(self, context, id, refusal_kind::deadline_exceeded);
        return;
    }
    emit(context, cancel_transfer{attempt.m_transfer});
    report_observation(self, context, attempt, run_observation::silent);
    answer_refusal(context, attempt.m_exchange, id,
                   {refusal_kind::deadline_exceeded, request_outcome::unknown});
    end_run(self, context, id, execution_status::may_have_run);
}

/// Marks the silent attempts on an upstream that may run elsewhere as stalled, and tells their
/// ingresses, which know whether another attempt can be made. The gate does not end them, since
/// the upstream may still be at work on a request that can be answered in no other way.
void report_stalled_attempts(gate_state& state, const membership_state& members,
                             reducer_context& context, std::string_view endpoint)
{
    for (auto& [id, attempt] : state.m_attempts) {
        const bool may_run_elsewhere = attempt.m_repeat != gate_repeat::forbidden;
        if (!attempt.m_is_silent || attempt.m_is_stalled || !may_run_elsewhere ||
            attempt.m_phase != gate_phase::running || attempt.m_metadata.m_endpoint != endpoint) {
            continue;
        }
        attempt.m_is_stalled = true;
        if (const auto* const peer = membership::find_member(members, id.m_ingress.m_name)) {
            emit(context,
                 send_datagram{peer->m_record.m_address,
                               cancel_attempt_response{id, attempt.m_metadata.m_gate_incarnation,
                                                       execution_status::stalled}});
        }
    }
}

/// Records that an attempt has no answer for several times the usual latency. If the circuit is not
/// closed then, the silent attempts on the upstream are stalled.
void handle_silence(host_state& self, reducer_context& context, const attempt_id& id)
{
    auto& attempt = self.m_gate.m_attempts.at(id);
    attempt.m_is_silent = true;
    schedule_check(self.m_gate, attempt, attempt.m_deadline);
    const auto upstream = self.m_gate.m_upstreams.find(attempt.m_metadata.m_endpoint);
    if (upstream == self.m_gate.m_upstreams.end()) {
        return;
    }
    circuit::record_outcome(upstream->second.m_circuit, circuit::run_outcome::silent,
                            context.m_now);
    attempt.m_is_outcome_recorded = attempt.m_is_outcome_recorded || attempt.m_is_trial;
    if (upstream->second.m_circuit.m_phase == circuit_phase::closed) {
        return;
    }
    report_stalled_attempts(self.m_gate, self.m_membership, context, upstream->first);
}

void check_attempt(host_state& self, reducer_context& context, const attempt_id& id)
{
    auto& attempt = self.m_gate.m_attempts.at(id);
    if (attempt.m_deadline <= context.m_now) {
        end_at_deadline(self, context, id);
    }
    else if (is_probing(context)) {
        handle_silence(self, context, id);
    }
    else if (!repeat_on_fresh_connection(self, context, attempt)) {
        report_observation(self, context, attempt, run_observation::silent);
        schedule_check(self.m_gate, attempt, attempt.m_deadline);
    }
}

observed_result to_observed_result(run_observation observation, const gate_attempt& attempt)
{
    switch (observation) {
    case run_observation::answered:
        return attempt.m_has_failed ? observed_result::server_error : observed_result::good;
    case run_observation::ended_without_answer:
        return observed_result::server_error;
    case run_observation::answered_other_request:
    case run_observation::truncated:
        return observed_result::corrupted;
    case run_observation::silent:
        return observed_result::timed_out;
    }
    assert(false);
    return observed_result::corrupted;
}

} // namespace

void admit(host_state& self, reducer_context& context, const attempt_id& id)
{
    const auto& attempt = self.m_gate.m_attempts.at(id);
    const auto& metadata = attempt.m_metadata;
    const auto* const upstream = find_serving_upstream(self.m_gate, metadata.m_endpoint);
    if (upstream == nullptr) {
        refuse_attempt(self, context, id, refusal_kind::no_upstream);
        return;
    }
    const bool is_idempotent = attempt.m_repeat != gate_repeat::forbidden;
    const bool is_circuit_open =
        is_probing(context) &&
        circuit::permission_for(upstream->m_circuit, is_idempotent, context.m_now) ==
            circuit::permission::refuse;
    if (is_circuit_open && metadata.m_circuit_breaker_mode == circuit_breaker_mode::enforce) {
        refuse_attempt(self, context, id, refusal_kind::circuit_open);
        return;
    }
    switch (quarantine::request_status_of(self.m_gate.m_quarantine, metadata.m_fingerprint,
                                          context.m_now)) {
    case quarantine::status::clear:
        request_admission(self, context, id);
        break;
    case quarantine::status::suspected:
        admit_suspected(self, context, id);
        break;
    case quarantine::status::quarantined:
        refuse_attempt(self, context, id, refusal_kind::quarantined);
        break;
    }
}

void start_waiting(host_state& self, reducer_context& context)
{
    for (const auto& waiting : admission::take_startable(self.m_admission, context.m_now)) {
        hand_over(self, context, waiting.m_attempt);
    }
    refuse_shed_attempts(self, context);
}

void refuse_attempt(host_state& self, reducer_context& context, const attempt_id& id,
                    refusal_kind kind, std::string_view crashed_run)
{
    const auto& attempt = self.m_gate.m_attempts.at(id);
    answer_refusal(context, attempt.m_exchange, id, {kind, request_outcome::not_run, 1s},
                   crashed_run, refusal_fields(self, attempt));
    finish(self, context, id, execution_status::not_run);
}

void refuse_queued(host_state& self, reducer_context& context, std::string_view endpoint)
{
    for (const auto& waiting : admission::take_waiting(self.m_admission, endpoint)) {
        refuse_attempt(self, context, waiting.m_attempt, refusal_kind::no_upstream);
    }
}

void remove_from_queue(host_state& self, const gate_attempt& attempt)
{
    const auto& id = attempt.m_metadata.m_attempt;
    if (attempt.m_phase == gate_phase::queued) {
        admission::remove_from_queue(self.m_admission, attempt.m_metadata.m_endpoint, id);
        return;
    }
    assert(attempt.m_phase == gate_phase::held);
    auto& suspects = self.m_gate.m_quarantine.m_suspects;
    if (const auto found = suspects.find(attempt.m_metadata.m_fingerprint);
        found != suspects.end()) {
        std::erase(found->second.m_held_attempts, id);
    }
}

void end_run(host_state& self, reducer_context& context, const attempt_id& id,
             execution_status status)
{
    const auto& attempt = self.m_gate.m_attempts.at(id);
    const auto& metadata = attempt.m_metadata;
    const auto upstream = self.m_gate.m_upstreams.find(metadata.m_endpoint);
    const auto expected_run = upstream == self.m_gate.m_upstreams.end()
                                  ? duration{}
                                  : mean_latency(upstream->second.m_latencies, metadata.m_route);
    admission::release(self.m_admission, metadata.m_endpoint, result_of(attempt), attempt.m_latency,
                       context.m_now, expected_run);
    finish(self, context, id, status);
    start_waiting(self, context);
}

void check_due_attempts(host_state& self, reducer_context& context)
{
    auto& due = self.m_gate.m_due;
    while (!due.empty() && due.begin()->m_at <= context.m_now) {
        check_attempt(self, context, attempt_id{due.begin()->m_attempt});
    }
}

void report_observation(host_state& self, reducer_context& context, const gate_attempt& attempt,
                        run_observation observation)
{
    const auto& metadata = attempt.m_metadata;
    const auto latency = attempt.m_phase == gate_phase::relaying
                             ? attempt.m_latency
                             : context.m_now - attempt.m_handed_over_at;
    health::record_observation(self.m_health, context,
                               {{context.m_settings.m_self.m_name, metadata.m_endpoint},
                                metadata.m_service,
                                metadata.m_route,
                                observer::gate,
                                to_observed_result(observation, attempt),
                                latency});
}

} // namespace chivevane::gate
