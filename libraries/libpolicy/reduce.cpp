#include "libpolicy/reduce.h"

#include "libbase/result.h"
#include "libpolicy/admission/admission.h"
#include "libpolicy/configuration/configuration.h"
#include "libpolicy/configuration/store_contact.h"
#include "libpolicy/gate/gate.h"
#include "libpolicy/gate/health_checks.h"
#include "libpolicy/gate/upstream_answers.h"
#include "libpolicy/gate/upstream_departures.h"
#include "libpolicy/health/health.h"
#include "libpolicy/ingress/attempts.h"
#include "libpolicy/ingress/ingress.h"
#include "libpolicy/limits/limits.h"
#include "libpolicy/limits/meter_reach.h"
#include "libpolicy/limits/metering.h"
#include "libpolicy/membership/membership.h"
#include "libpolicy/membership/registration.h"
#include "libpolicy/recovery/recovery.h"
#include "libwire/store_position.h"

#include <algorithm>

namespace chivevane {

namespace {

reducer_context make_context(host_state& self, instant now, std::int64_t wall_ms,
                             effect_list& effects)
{
    return {now, wall_ms, self.m_settings, self.m_random, self.m_last_id, effects};
}

/// Makes the host refuse new requests from now on and leave the membership and the rate limits.
void begin_leaving(host_state& self, reducer_context& context)
{
    self.m_ingress.m_is_leaving = true;
    self.m_gate.m_is_leaving = true;
    membership::leave(self.m_membership, context);
    limits::leave(self.m_limits, context);
}

void stop(host_state& self, reducer_context& context);

/// Starts to refuse new requests once the shutdown notice is over.
void end_shutdown_notice(host_state& self, reducer_context& context)
{
    const bool is_over =
        self.m_shutdown_notice_until && context.m_now >= *self.m_shutdown_notice_until;
    if (is_over && !self.m_gate.m_is_leaving) {
        begin_leaving(self, context);
    }
}

void handle(host_state& self, reducer_context& context, const timer_fired&)
{
    membership::on_timer(self.m_membership, context);
    recovery::on_timer(self, context);
    configuration::on_timer(self.m_configuration, context, self.m_membership);
    limits::on_timer(self.m_limits, context, self.m_membership);
    health::on_timer(self.m_health, context, self.m_membership, self.m_configuration);
    gate::on_timer(self, context);
    ingress::on_timer(self, context);
    end_shutdown_notice(self, context);
}

void handle(host_state& self, reducer_context& context, const leave_requested&)
{
    if (self.m_leave_deadline) {
        stop(self, context);
        return;
    }
    self.m_leave_deadline = context.m_now + self.m_settings.m_shutdown_limit;
    self.m_shutdown_notice_until = context.m_now + self.m_settings.m_shutdown_notice_period;
    if (self.m_settings.m_shutdown_notice_period == duration{}) {
        begin_leaving(self, context);
    }
}

void handle(host_state& self, reducer_context& context, const inbound_request& request)
{
    if (request.m_listener == listener_kind::caller) {
        ingress::on_request(self, context, request);
    }
    else {
        gate::on_request(self, context, request);
    }
}

void handle(host_state& self, reducer_context& context, const inbound_disconnected& disconnected)
{
    if (ingress::owns_exchange(self.m_ingress, disconnected.m_exchange)) {
        ingress::on_caller_disconnected(self, context, disconnected.m_exchange);
    }
    else if (gate::owns_exchange(self.m_gate, disconnected.m_exchange)) {
        gate::on_ingress_disconnected(self, context, disconnected.m_exchange);
    }
}

void handle(host_state& self, reducer_context& context, const transfer_head& answer)
{
    if (ingress::owns_transfer(self.m_ingress, answer.m_transfer)) {
        ingress::on_transfer_head(self, context, answer);
    }
    else if (gate::owns_transfer(self.m_gate, answer.m_transfer)) {
        gate::on_transfer_head(self, context, answer);
    }
    else if (gate::owns_health_check(self.m_gate, answer.m_transfer)) {
        gate::on_health_check_answer(self, context, answer);
    }
}

void handle(host_state& self, reducer_context& context, const transfer_ended& end)
{
    if (ingress::owns_transfer(self.m_ingress, end.m_transfer)) {
        ingress::on_transfer_ended(self, context, end);
    }
    else if (gate::owns_transfer(self.m_gate, end.m_transfer)) {
        gate::on_transfer_ended(self, context, end);
    }
    else if (gate::owns_health_check(self.m_gate, end.m_transfer)) {
        gate::on_health_check_ended(self.m_gate, end);
    }
}

void handle(host_state& self, reducer_context& context, const datagram_received& received)
{
    const auto& sender = received.m_sender;
    if (self.m_settings.m_rate_mode == rate_mode::metered) {
        limits::record_contact(self.m_limits.m_metering.m_reach, sender.m_name, context.m_now);
    }
    std::visit(
        overloaded{
            [&](const host_record& record) {
                membership::on_host_record(self.m_membership, context, sender, record);
                configuration::on_host_record(self.m_configuration, context, record);
            },
            [&](const document_revisions& revisions) {
                configuration::on_document_revisions(self.m_configuration, context, sender,
                                                     revisions, self.m_membership);
            },
            [&](const loan_request& request) {
                limits::on_loan_request(self.m_limits, context, self.m_membership, sender, request);
            },
            [&](const loan_response& response) {
                limits::on_loan_response(self.m_limits, context, self.m_membership, sender,
                                         response);
            },
            [&](const loan_report& report) {
                limits::on_loan_report(self.m_limits, context, sender, report);
            },
            [&](const share_lease_request& request) {
                limits::on_share_lease_request(self.m_limits, context, self.m_membership, sender,
                                               request);
            },
            [&](const share_lease_response& response) {
                limits::on_share_lease_response(self.m_limits, context, sender, response);
            },
            [&](const cancel_attempt_request& request) {
                gate::on_cancel_attempt_request(self, context, sender, request);
            },
            [&](const cancel_attempt_response& response) {
                ingress::on_cancel_attempt_response(self, context, response);
            },
            [&](const crash_report& report) {
                gate::on_crash_report(self, context, sender, report);
            },
            [&](const health_report& report) {
                health::on_report(self.m_health, context, sender, report);
            },
            [&](const gossip& update) {
                membership::on_gossip(self.m_membership, context, sender, update);
                configuration::on_gossip(self.m_configuration, context, sender, update,
                                         self.m_membership);
            },
            [&](const probe& request) {
                membership::on_probe(self.m_membership, context, sender, request);
            },
            [&](const probe_ack& ack) {
                membership::on_probe_ack(self.m_membership, context, sender, ack);
            },
            [&](const host_record_request& request) {
                membership::on_host_record_request(self.m_membership, context, request);
            },
            [&](const document_revisions_request& request) {
                configuration::on_revisions_request(self.m_configuration, context, request);
            },
            [&](const store_contact_report& report) {
                configuration::on_store_contact_report(self.m_configuration, context, sender,
                                                       report);
            },
            [&](const token_request& request) {
                limits::on_token_request(self.m_limits.m_metering, context, self.m_membership,
                                         sender, request);
            },
            [&](const token_response& response) {
                limits::on_token_response(self.m_limits.m_metering, context, response);
            },
            [&](const contact_request& request) {
                emit(context, send_datagram{request.m_address, contact_response{}});
            },
            [](const contact_response&) {},
            [&](const departure_report& report) {
                gate::on_departures_reported(self, context, report.m_departures);
            },
            [&](const recovery_request& request) { recovery::on_request(self, context, request); },
            [&](const recovery_response& response) {
                recovery::on_response(self, context, sender, response);
            },
        },
        received.m_message);
}

/// Handles an answer to a read, watch or write of documents, which may show a return of the store.
void handle_document_answer(host_state& self, reducer_context& context,
                            const store_response& response)
{
    const auto& configuration = self.m_configuration;
    const auto earlier_reversions = configuration.m_store_reversions;
    configuration::on_store_response(self.m_configuration, context, response);
    if (configuration.m_store_reversions != earlier_reversions) {
        membership::on_store_returned(self.m_membership.m_registration, context,
                                      configuration.m_store_position.m_era,
                                      membership::count_live_peers(self.m_membership));
    }
}

void handle(host_state& self, reducer_context& context, const store_response& response)
{
    switch (response.m_purpose) {
    case store_purpose::registration:
        membership::on_store_outcome(self.m_membership, context, response.m_outcome);
        break;
    case store_purpose::document_read:
    case store_purpose::document_write:
    case store_purpose::document_watch:
        handle_document_answer(self, context, response);
        break;
    case store_purpose::roster:
        limits::on_store_response(self.m_limits, context, response.m_operation_id,
                                  response.m_outcome);
        break;
    }
}

void handle(host_state& self, reducer_context& context, const document_submitted& submission)
{
    configuration::on_document_submitted(self.m_configuration, context, submission);
}

void handle(host_state& self, reducer_context& context, const document_fetched& answer)
{
    configuration::on_document_fetched(self.m_configuration, context, answer);
}

void handle(host_state& self, reducer_context& context, const upstream_announcement& announcement)
{
    gate::on_announcement(self, context, announcement);
}

void handle(host_state& self, reducer_context& context, const host_declared_dead& declaration)
{
    limits::declare_dead(self.m_limits, context, declaration.m_host);
    emit(context, record_event{"host-declared-dead",
                               {{"host", declaration.m_host}},
                               record_target::timeline_and_log});
    emit(context, respond{declaration.m_exchange, {202, {}}, {}});
}

bool has_work_in_progress(const host_state& self)
{
    return !self.m_ingress.m_requests.empty() || !self.m_gate.m_attempts.empty() ||
           !limits::has_left(self.m_limits);
}

/// Answers every caller that still waits for an answer, then ends the process.
void stop(host_state& self, reducer_context& context)
{
    ingress::fail_all_requests(self, context);
    emit(context, stop_process{});
}

/// Returns the latest era of the store in which a document in force was written.
std::uint64_t newest_era(const configuration_state& configuration)
{
    std::uint64_t newest = 0;
    for (const auto& [name, held] : configuration.m_documents) {
        newest = std::max(newest, decode_position(held.m_stored.m_revision).m_era);
    }
    return newest;
}

/// Does the work that follows a change of the documents in force.
void handle_changed_documents(host_state& self, reducer_context& context)
{
    const auto digest = configuration::digest_of(self.m_configuration);
    if (digest == self.m_membership.m_own_record.m_documents_digest) {
        return;
    }
    membership::set_documents_digest(self.m_membership, digest);
    membership::observe_store_era(self.m_membership.m_registration, context,
                                  newest_era(self.m_configuration),
                                  membership::count_live_peers(self.m_membership));
    gate::on_documents_changed(self, context);
}

/// Does the work that follows every event: applies deferred rate limit decisions, handles changed
/// documents, and ends a shutdown that is complete or past its deadline.
void finish_event(host_state& self, reducer_context& context)
{
    ingress::on_token_decisions(self, context);
    handle_changed_documents(self, context);
    const bool is_done = self.m_gate.m_is_leaving && !has_work_in_progress(self);
    if (self.m_leave_deadline && (is_done || context.m_now >= *self.m_leave_deadline)) {
        stop(self, context);
    }
}

/// Returns the time at which the shutdown notice ends; `instant::max()` if none is running.
instant shutdown_notice_end(const host_state& self)
{
    return self.m_shutdown_notice_until && !self.m_gate.m_is_leaving ? *self.m_shutdown_notice_until
                                                                     : instant::max();
}

} // namespace

started_host start_host(host_settings settings, instant now, std::int64_t wall_ms)
{
    started_host started;
    auto& self = started.m_state;
    self.m_settings = std::move(settings);
    self.m_random.seed(self.m_settings.m_random_seed);
    self.m_admission.m_limit_basis = self.m_settings.m_placement == placement_mode::probing
                                         ? limit_basis::announcement
                                         : limit_basis::answers;
    auto context = make_context(self, now, wall_ms, started.m_effects);
    membership::start(self.m_membership, context);
    recovery::start(self.m_recovery, context);
    configuration::start(self.m_configuration, context);
    limits::start(self.m_limits, context);
    return started;
}

effect_list reduce(host_state& self, const event& input)
{
    effect_list effects;
    auto context = make_context(self, input.m_at, input.m_wall_ms, effects);
    membership::detect_pause(self.m_membership, context);
    std::visit([&](const auto& body) { handle(self, context, body); }, input.m_body);
    finish_event(self, context);
    return effects;
}

instant next_wakeup(const host_state& self)
{
    return std::min(
        {membership::next_wakeup(self.m_membership), recovery::next_wakeup(self.m_recovery),
         configuration::next_wakeup(self.m_configuration), limits::next_wakeup(self.m_limits),
         health::next_wakeup(self.m_health), admission::next_wakeup(self.m_admission),
         gate::next_wakeup(self.m_gate), ingress::next_wakeup(self.m_ingress),
         self.m_leave_deadline.value_or(instant::max()), shutdown_notice_end(self)});
}

} // namespace chivevane
