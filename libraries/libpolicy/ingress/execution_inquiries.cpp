#include "libpolicy/ingress/execution_inquiries.h"

#include "libpolicy/health/health.h"
#include "libpolicy/host_state.h"
#include "libpolicy/ingress/attempts.h"
#include "libpolicy/membership/membership.h"

namespace chivevane::ingress {

namespace {

constexpr duration inquiry_interval = 50ms;

/// A gate is given up after this many inquiries without a response. They take one second, which is
/// longer than a host usually pauses.
constexpr std::uint32_t max_inquiries = 20;

constexpr int inquiry_delay_factor = 2; // A running attempt is asked for less often.

constexpr refusal outcome_unknown{refusal_kind::upstream_failed, request_outcome::unknown};
constexpr refusal proven_not_run{refusal_kind::upstream_failed, request_outcome::not_run, 1s};

void send_inquiry(host_state& self, reducer_context& context, ingress_request& request,
                  ingress_attempt& attempt)
{
    const auto scope = attempt.m_phase == attempt_phase::cancelling ? cancel_scope::not_handed_over
                                                                    : cancel_scope::not_received;
    emit(context, send_datagram{attempt.m_destination.m_gate,
                                cancel_attempt_request{attempt.m_id,
                                                       attempt.m_destination.m_gate_incarnation,
                                                       attempt.m_gate_clock, scope}});
    ++attempt.m_unanswered_inquiries;
    attempt.m_next_inquiry = context.m_now + inquiry_interval;
    reschedule(self.m_ingress, request);
}

void postpone_inquiry(host_state& self, reducer_context& context, ingress_request& request,
                      ingress_attempt& attempt)
{
    attempt.m_unanswered_inquiries = 0;
    attempt.m_next_inquiry = context.m_now + attempt.m_inquiry_delay;
    reschedule(self.m_ingress, request);
}

/// Makes another attempt beside one whose answer is late, if the request allows it. The late one is
/// not given up, since it may be the only one that brings an answer.
void handle_stalled_attempt(host_state& self, reducer_context& context, ingress_request& request,
                            ingress_attempt& attempt)
{
    if (attempt.m_is_stalled) {
        return;
    }
    attempt.m_is_stalled = true;
    // Sending another attempt may move `attempt` in memory.
    send_beside_stalled_attempts(self, context, request, outcome_unknown);
}

/// Handles a gate that does not respond to inquiries. An attempt that is being cancelled, or whose
/// gate is dead, ends with an unknown outcome. Another one stays open, as its answer can still
/// come.
void handle_silent_gate(host_state& self, reducer_context& context, ingress_request& request,
                        ingress_attempt& attempt)
{
    if (attempt.m_phase == attempt_phase::cancelling) {
        end_attempt(self, context, request, attempt, outcome_unknown);
        return;
    }
    attempt.m_next_inquiry = instant::max();
    reschedule(self.m_ingress, request);
    if (request.m_idempotency == routing::idempotency::not_idempotent) {
        return;
    }
    const auto& upstream = attempt.m_destination.m_upstream;
    health::record_observation(self.m_health, context,
                               {upstream, request.m_service, request.m_route->m_name,
                                observer::ingress, observed_result::unreachable,
                                context.m_now - attempt.m_started_at});
    const auto* const host = membership::find_member(self.m_membership, upstream.m_host);
    if (host == nullptr || host->m_status == member_status::dead) {
        cancel_attempt(self, context, attempt);
        end_attempt(self, context, request, attempt, outcome_unknown);
        return;
    }
    handle_stalled_attempt(self, context, request, attempt);
}

/// Handles a report that the gate has answered or the run has ended. The first report leaves the
/// answer time to arrive; after the second the connection counts as silent and is given up.
void await_reported_answer(host_state& self, reducer_context& context, ingress_request& request,
                           ingress_attempt& attempt)
{
    if (!attempt.m_is_answer_reported) {
        attempt.m_is_answer_reported = true;
        postpone_inquiry(self, context, request, attempt);
        return;
    }
    cancel_attempt(self, context, attempt);
    end_attempt(self, context, request, attempt, outcome_unknown);
}

} // namespace

void begin_cancellation(host_state& self, reducer_context& context, ingress_request& request,
                        ingress_attempt& attempt)
{
    self.m_ingress.m_by_transfer.erase(attempt.m_transfer);
    attempt.m_phase = attempt_phase::cancelling;
    attempt.m_unanswered_inquiries = 0;
    send_inquiry(self, context, request, attempt);
}

void process_due_inquiry(host_state& self, reducer_context& context, ingress_request& request,
                         ingress_attempt& attempt)
{
    if (attempt.m_unanswered_inquiries >= max_inquiries) {
        handle_silent_gate(self, context, request, attempt);
        return;
    }
    send_inquiry(self, context, request, attempt);
}

void apply_execution_status(host_state& self, reducer_context& context, ingress_request& request,
                            ingress_attempt& attempt, execution_status status)
{
    if (attempt.m_phase == attempt_phase::cancelling) {
        if (status == execution_status::in_progress || status == execution_status::stalled) {
            return; // Responds to an inquiry sent before the one that cancels the attempt.
        }
        attempt.m_may_have_reached_upstream = status != execution_status::not_run;
        end_attempt(self, context, request, attempt,
                    status == execution_status::not_run ? proven_not_run : outcome_unknown);
        return;
    }
    switch (status) {
    case execution_status::not_run:
        cancel_attempt(self, context, attempt);
        resend_to_same_gate(self, context, request, attempt, connection_reuse::forbidden);
        break;
    case execution_status::in_progress:
        attempt.m_inquiry_delay *= inquiry_delay_factor;
        postpone_inquiry(self, context, request, attempt);
        break;
    case execution_status::stalled:
        postpone_inquiry(self, context, request, attempt);
        handle_stalled_attempt(self, context, request, attempt);
        break;
    case execution_status::may_have_run:
        await_reported_answer(self, context, request, attempt);
        break;
    case execution_status::unknown:
        cancel_attempt(self, context, attempt);
        end_attempt(self, context, request, attempt, outcome_unknown);
        break;
    }
}

} // namespace chivevane::ingress
