#include "libpolicy/gate/gate.h"

#include "libpolicy/admission/admission.h"
#include "libpolicy/configuration/configuration.h"
#include "libpolicy/forwarding.h"
#include "libpolicy/gate/crash_reports.h"
#include "libpolicy/gate/gate_answers.h"
#include "libpolicy/gate/health_checks.h"
#include "libpolicy/gate/local_upstreams.h"
#include "libpolicy/gate/run_outcomes.h"
#include "libpolicy/gate/running_attempts.h"
#include "libpolicy/gate/shed_attempts.h"
#include "libpolicy/gate/upstream_departures.h"
#include "libpolicy/gate/upstream_statements.h"
#include "libpolicy/host_state.h"
#include "libpolicy/ingress/is_idempotent.h"
#include "libpolicy/membership/membership.h"
#include "libpolicy/refusal.h"

#include <algorithm>
#include <array>

namespace chivevane::gate {

namespace {

/// Whether the gate clock reading of a message is recent enough that the tombstone of any earlier
/// copy of the attempt still exists.
bool is_fresh(std::int64_t reading, instant now)
{
    const auto age = clock_reading(now) - reading;
    return age >= 0 && age < tombstone_lifetime.count();
}

/// Request fields that only the gate sets; those that come with a request are removed.
constexpr std::array<std::string_view, 4> upstream_fields{"X-Request-Id", "X-Request-Timeout-Ms",
                                                          "X-Expected-Endpoint", "X-Organisation"};

bool may_repeat(const attempt_metadata& metadata, std::string_view method)
{
    return metadata.m_repeat == repeat_permission::by_method
               ? is_idempotent(method)
               : metadata.m_repeat == repeat_permission::allowed;
}

bool is_full(const gate_state& state)
{
    return state.m_attempts.size() + state.m_tombstones.m_statuses.size() >=
           max_remembered_attempts;
}

/// Whether this gate accepts an attempt, and what it answers if not.
enum class arrival_check : std::uint8_t { accepted, may_have_run, known_not_run, needs_clock };

arrival_check check_arrival(const host_state& self, reducer_context& context,
                            const attempt_metadata& metadata, std::string_view method)
{
    const auto& state = self.m_gate;
    if (metadata.m_gate_incarnation != context.m_settings.m_self.m_incarnation ||
        state.m_attempts.contains(metadata.m_attempt)) {
        return arrival_check::may_have_run;
    }
    if (const auto status = find_execution_status(state.m_tombstones, metadata.m_attempt)) {
        return *status == execution_status::not_run ? arrival_check::known_not_run
                                                    : arrival_check::may_have_run;
    }
    if (metadata.m_gate_clock == 0) {
        const bool may_run_without =
            may_repeat(metadata, method) &&
            !may_be_refused_copy(state.m_final_refusals, metadata.m_attempt);
        return may_run_without ? arrival_check::accepted : arrival_check::needs_clock;
    }
    return is_fresh(metadata.m_gate_clock, context.m_now) ? arrival_check::accepted
                                                          : arrival_check::may_have_run;
}

/// Whether the attempt may have waited in a socket while this process was paused. The time that it
/// has left is counted from when its ingress sent it, so it may have run out.
bool may_have_waited_in_pause(const host_state& self, const reducer_context& context,
                              const attempt_metadata& metadata)
{
    return membership::has_stale_view(self.m_membership) &&
           metadata.m_attempt.m_ingress != context.m_settings.m_self;
}

void accept_attempt(host_state& self, reducer_context& context, const inbound_request& request,
                    const attempt_metadata& metadata)
{
    auto& state = self.m_gate;
    gate_attempt attempt;
    attempt.m_exchange = request.m_exchange;
    attempt.m_metadata = metadata;
    attempt.m_head = forwardable_request(request.m_head);
    std::erase_if(attempt.m_head.m_fields, [](const http_field& field) {
        return std::any_of(upstream_fields.begin(), upstream_fields.end(), [&](const auto name) {
            return equal_ignoring_case(field.m_name, name);
        });
    });
    attempt.m_repeat = may_repeat(metadata, request.m_head.m_method) ? gate_repeat::allowed
                                                                     : gate_repeat::forbidden;
    attempt.m_deadline = context.m_now + metadata.m_timeout_left;
    state.m_by_exchange[request.m_exchange] = metadata.m_attempt;
    state.m_attempts.emplace(metadata.m_attempt, std::move(attempt));
    if (!metadata.m_crashed_run.empty()) {
        quarantine::add_crashed_run(state.m_quarantine, metadata.m_fingerprint,
                                    metadata.m_crashed_run, context.m_now);
    }
    if (state.m_is_leaving) {
        refuse_attempt(self, context, metadata.m_attempt, refusal_kind::leaving);
        return;
    }
    if (configuration::is_datacentre_out(self.m_configuration, metadata.m_service,
                                         context.m_settings.m_datacentre)) {
        refuse_attempt(self, context, metadata.m_attempt, refusal_kind::no_upstream);
        return;
    }
    if (may_have_waited_in_pause(self, context, metadata) ||
        is_outdated(state.m_revisions, metadata.m_document, metadata.m_revision, context.m_now)) {
        refuse_attempt(self, context, metadata.m_attempt, refusal_kind::not_ready);
        return;
    }
    admit(self, context, metadata.m_attempt);
}

/// The execution status of an attempt that the gate has not finished. Refuses it if it was not
/// handed over and `scope` covers it.
execution_status cancel_if_queued(host_state& self, reducer_context& context,
                                  const gate_attempt& attempt, cancel_scope scope)
{
    if (attempt.m_phase == gate_phase::relaying) {
        return execution_status::may_have_run;
    }
    if (scope == cancel_scope::not_received) {
        return attempt.m_is_stalled ? execution_status::stalled : execution_status::in_progress;
    }
    if (attempt.m_phase == gate_phase::running) {
        return execution_status::may_have_run;
    }
    remove_from_queue(self, attempt);
    refuse_attempt(self, context, attempt_id{attempt.m_metadata.m_attempt},
                   refusal_kind::deadline_exceeded);
    return execution_status::not_run;
}

/// Cancels an attempt that was not handed over, and returns its execution status. One that has not
/// arrived gets a tombstone, so that it is refused when it arrives.
execution_status cancel_if_not_sent(host_state& self, reducer_context& context,
                                    const cancel_attempt_request& request)
{
    auto& state = self.m_gate;
    if (request.m_gate_incarnation != context.m_settings.m_self.m_incarnation) {
        return execution_status::unknown;
    }
    if (const auto status = find_execution_status(state.m_tombstones, request.m_attempt)) {
        return *status;
    }
    if (const auto found = state.m_attempts.find(request.m_attempt);
        found != state.m_attempts.end()) {
        return cancel_if_queued(self, context, found->second, request.m_scope);
    }
    if (is_full(state) || !is_fresh(request.m_gate_clock, context.m_now)) {
        return execution_status::unknown;
    }
    add_tombstone(state.m_tombstones, request.m_attempt, execution_status::not_run, context.m_now);
    return execution_status::not_run;
}

} // namespace

void on_announcement(host_state& self, reducer_context& context,
                     const upstream_announcement& announcement)
{
    const auto effective = with_known_departure(self, context, announcement);
    apply_announcement(self, context, effective);
    if (effective.m_phase != upstream_phase::serving) {
        refuse_queued(self, context, effective.m_endpoint);
    }
    start_waiting(self, context);
}

void on_request(host_state& self, reducer_context& context, const inbound_request& request)
{
    const auto parsed = parse_attempt_metadata(request.m_head, request.m_body_hash,
                                               context.m_settings.m_shared_secret);
    if (is_error(parsed)) {
        emit(context, make_refusal(request.m_exchange, {refusal_kind::malformed_request}));
        return;
    }
    const auto& metadata = value_of(parsed);
    switch (check_arrival(self, context, metadata, request.m_head.m_method)) {
    case arrival_check::accepted:
        break;
    case arrival_check::may_have_run:
        answer_refusal(context, request.m_exchange, metadata.m_attempt,
                       {refusal_kind::no_upstream, request_outcome::unknown});
        return;
    case arrival_check::known_not_run:
        answer_refusal(context, request.m_exchange, metadata.m_attempt,
                       {refusal_kind::no_upstream, request_outcome::not_run});
        return;
    case arrival_check::needs_clock:
        request_clock_reading(context, request.m_exchange, metadata.m_attempt);
        return;
    }
    if (is_full(self.m_gate)) {
        answer_refusal(context, request.m_exchange, metadata.m_attempt,
                       {refusal_kind::overloaded, request_outcome::unknown, 1s});
        return;
    }
    accept_attempt(self, context, request, metadata);
}

void on_ingress_disconnected(host_state& self, reducer_context& context, exchange_id exchange)
{
    const attempt_id id = self.m_gate.m_by_exchange.at(exchange);
    const auto& attempt = self.m_gate.m_attempts.at(id);
    record_abandoned_attempt(context, attempt);
    if (attempt.m_phase == gate_phase::queued || attempt.m_phase == gate_phase::held) {
        remove_from_queue(self, attempt);
        refuse_attempt(self, context, id, refusal_kind::deadline_exceeded);
        return;
    }
    if (attempt.m_repeat == gate_repeat::forbidden && attempt.m_phase == gate_phase::running) {
        // Cancelling could leave its work half done. It runs on, and its answer is dropped.
        self.m_gate.m_by_exchange.erase(exchange);
        self.m_gate.m_attempts.at(id).m_exchange = 0;
        return;
    }
    emit(context, cancel_transfer{attempt.m_transfer});
    end_run(self, context, id, execution_status::may_have_run);
}

void on_cancel_attempt_request(host_state& self, reducer_context& context,
                               const host_identity& sender, const cancel_attempt_request& request)
{
    const auto* const peer = membership::find_member(self.m_membership, sender.m_name);
    if (peer == nullptr) {
        return;
    }
    const auto address = peer->m_record.m_address;
    const auto status = cancel_if_not_sent(self, context, request);
    emit(context,
         send_datagram{address, cancel_attempt_response{request.m_attempt,
                                                        request.m_gate_incarnation, status}});
}

void on_crash_report(host_state& self, reducer_context& context, const host_identity&,
                     const crash_report& report)
{
    auto& state = self.m_gate.m_quarantine;
    if (report.m_evidence == crash_evidence::added) {
        quarantine::add_crashed_run(state, report.m_fingerprint, report.m_crashed_run,
                                    context.m_now);
    }
    else {
        quarantine::withdraw_crashed_run(state, report.m_fingerprint, report.m_crashed_run);
    }
}

void on_timer(host_state& self, reducer_context& context)
{
    record_revisions(self.m_gate.m_revisions, self.m_configuration, context.m_now);
    check_due_attempts(self, context);
    expire_health_checks(self.m_gate, context);
    for (const auto& expired : admission::take_expired(self.m_admission, context.m_now)) {
        refuse_attempt(self, context, expired.m_attempt, refusal_kind::deadline_exceeded);
    }
    refuse_shed_attempts(self, context);
    for (const auto& id : remove_expired_upstreams(self, context)) {
        refuse_attempt(self, context, id, refusal_kind::no_upstream);
    }
    remove_expired_tombstones(self.m_gate.m_tombstones, context.m_now);
    quarantine::expire(self.m_gate.m_quarantine, context.m_now);
    send_reports(self, context);
    start_waiting(self, context);
    publish_upstreams(self);
}

void on_documents_changed(host_state& self, reducer_context& context)
{
    for (const auto& [endpoint, upstream] : self.m_gate.m_upstreams) {
        if (configuration::is_datacentre_out(self.m_configuration, upstream.m_latest.m_service,
                                             context.m_settings.m_datacentre)) {
            refuse_queued(self, context, endpoint);
        }
    }
}

bool owns_transfer(const gate_state& state, transfer_id transfer)
{
    return state.m_by_transfer.contains(transfer);
}

bool owns_exchange(const gate_state& state, exchange_id exchange)
{
    return state.m_by_exchange.contains(exchange);
}

instant next_wakeup(const gate_state& state)
{
    auto earliest = state.m_due.empty() ? instant::max() : state.m_due.begin()->m_at;
    earliest = std::min(earliest, next_health_check_timeout(state));
    for (const auto& [endpoint, upstream] : state.m_upstreams) {
        earliest = std::min(earliest, upstream.m_expires_at);
    }
    for (const auto& pending : state.m_pending_crash_reports) {
        earliest = std::min(earliest, pending.m_next_send);
    }
    return earliest;
}

} // namespace chivevane::gate
