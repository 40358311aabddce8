#include "libpolicy/ingress/inquiries.h"

#include "libpolicy/health/health.h"
#include "libpolicy/ingress/attempts.h"
#include "libpolicy/node_state.h"

namespace chivevane::ingress {

namespace {

constexpr duration inquiry_interval = 50ms;
constexpr std::uint32_t max_inquiries = 20; // One second: longer than a host's ordinary pauses.
constexpr int later_patience_multiple = 2;  // An attempt that runs is asked for less often.

constexpr refusal lost{refusal_kind::upstream_failed, request_outcome::unknown};
constexpr refusal proven_not_run{refusal_kind::upstream_failed, request_outcome::not_run, 1s};

void send_inquiry(node_state& node, context& surroundings, ingress_request& request,
                  ingress_attempt& attempt)
{
    const auto scope = attempt.m_phase == attempt_phase::voiding ? void_scope::not_handed_over
                                                                 : void_scope::never_seen;
    emit(surroundings,
         send_datagram{attempt.m_destination.m_gate,
                       void_request{attempt.m_id, attempt.m_destination.m_gate_incarnation,
                                    attempt.m_gate_clock, scope}});
    ++attempt.m_inquiries;
    attempt.m_next_inquiry = surroundings.m_now + inquiry_interval;
    reschedule(node.m_ingress, request);
}

void wait_longer(node_state& node, context& surroundings, ingress_request& request,
                 ingress_attempt& attempt)
{
    attempt.m_inquiries = 0;
    attempt.m_next_inquiry = surroundings.m_now + attempt.m_patience;
    reschedule(node.m_ingress, request);
}

/// The gate's host does not answer: its connection is given up where a second run does no harm.
void give_up_on_gate(node_state& node, context& surroundings, ingress_request& request,
                     ingress_attempt& attempt)
{
    if (attempt.m_phase == attempt_phase::voiding) {
        end_attempt(node, surroundings, request, attempt, lost);
        return;
    }
    if (request.m_repeatability == routing::repeatability::not_idempotent) {
        attempt.m_next_inquiry = instant::max(); // The answer may still come; nothing else can.
        reschedule(node.m_ingress, request);
        return;
    }
    health::observe(node.m_health, surroundings,
                    {attempt.m_destination.m_upstream, request.m_service, request.m_route->m_name,
                     observer::ingress, observed_result::unreachable,
                     surroundings.m_now - attempt.m_started_at});
    cancel_attempt(node, surroundings, attempt);
    end_attempt(node, surroundings, request, attempt, lost);
}

/// The gate says that it has answered. If the answer does not come, the connection is silent.
void await_lost_answer(node_state& node, context& surroundings, ingress_request& request,
                       ingress_attempt& attempt)
{
    if (!attempt.m_was_answered_once) {
        attempt.m_was_answered_once = true;
        wait_longer(node, surroundings, request, attempt);
        return;
    }
    cancel_attempt(node, surroundings, attempt);
    end_attempt(node, surroundings, request, attempt, lost);
}

} // namespace

void begin_void(node_state& node, context& surroundings, ingress_request& request,
                ingress_attempt& attempt)
{
    node.m_ingress.m_by_transfer.erase(attempt.m_transfer);
    attempt.m_phase = attempt_phase::voiding;
    attempt.m_inquiries = 0;
    send_inquiry(node, surroundings, request, attempt);
}

void inquire(node_state& node, context& surroundings, ingress_request& request,
             ingress_attempt& attempt)
{
    if (attempt.m_inquiries >= max_inquiries) {
        give_up_on_gate(node, surroundings, request, attempt);
        return;
    }
    send_inquiry(node, surroundings, request, attempt);
}

void apply_fate(node_state& node, context& surroundings, ingress_request& request,
                ingress_attempt& attempt, attempt_fate fate)
{
    if (attempt.m_phase == attempt_phase::voiding) {
        if (fate == attempt_fate::in_progress) {
            return; // Answers an earlier inquiry; the one that voids is still under way.
        }
        attempt.m_reached_upstream = fate != attempt_fate::not_run;
        end_attempt(node, surroundings, request, attempt,
                    fate == attempt_fate::not_run ? proven_not_run : lost);
        return;
    }
    switch (fate) {
    case attempt_fate::not_run:
        cancel_attempt(node, surroundings, attempt);
        resend_to_same_gate(node, surroundings, request, attempt, connection_choice::fresh);
        break;
    case attempt_fate::in_progress:
        attempt.m_patience *= later_patience_multiple;
        wait_longer(node, surroundings, request, attempt);
        break;
    case attempt_fate::may_run:
        await_lost_answer(node, surroundings, request, attempt);
        break;
    case attempt_fate::unknown:
        cancel_attempt(node, surroundings, attempt);
        end_attempt(node, surroundings, request, attempt, lost);
        break;
    }
}

} // namespace chivevane::ingress
