#include "libpolicy/ingress/request_log.h"

#include "libpolicy/host_state.h"
#include "libpolicy/ingress/retry_budget.h"
#include "libpolicy/membership/membership.h"
#include "libwire/store_position.h"

#include <fmt/format.h>

namespace chivevane::ingress {

std::string_view caller_request_id_of(const ingress_request& request)
{
    return find_field(request.m_head.m_fields, "X-Caller-Request-Id").value_or("-");
}

namespace {

/// Returns the gate's reason for refusing the attempt, or whether the upstream may have run it.
std::string execution_status_of(const ingress_attempt& attempt)
{
    if (attempt.m_may_have_reached_upstream) {
        return attempt.m_outcome == request_outcome::not_run ? "not-run" : "may-have-run";
    }
    const auto kind = attempt.m_end_reason.value_or(refusal_kind::upstream_failed);
    return std::string{to_string(kind)};
}

/// Returns `/insisted` if the gate was requested to run the attempt even on a failing upstream,
/// `/waited` if it was allowed to queue the attempt, or nothing.
std::string_view gate_option_suffix_of(const ingress_attempt& attempt)
{
    if (attempt.m_circuit_breaker_mode != circuit_breaker_mode::enforce) {
        return "/insisted";
    }
    return attempt.m_queueing == queueing_permission::allowed ? "/waited" : "";
}

} // namespace

std::string attempt_summary_of(const ingress_request& request)
{
    std::string text;
    for (const auto& attempt : request.m_attempts) {
        text += fmt::format("{}{}:{}{}", text.empty() ? "" : ",",
                            attempt.m_destination.m_upstream.m_host, execution_status_of(attempt),
                            gate_option_suffix_of(attempt));
    }
    return text.empty() ? "none" : text;
}

void log_refusal(const host_state& self, reducer_context& context, const ingress_request& request,
                 const refusal& reason)
{
    emit(context,
         record_event{
             "request-refused",
             {{"request", std::string{caller_request_id_of(request)}},
              {"number", std::to_string(request.m_number)},
              {"route", request.m_route->m_name},
              {"service", request.m_service},
              {"organisation", request.m_organisation},
              {"revision", describe_position(request.m_revision)},
              {"reason", std::string{to_string(reason.m_kind)}},
              {"outcome", reason.m_outcome == request_outcome::not_run ? "not-run" : "unknown"},
              {"attempts", attempt_summary_of(request)},
              {"left_ms", std::to_string(to_milliseconds(request.m_deadline - context.m_now))},
              {"members", std::to_string(membership::count_live_peers(self.m_membership) + 1)}},
             record_target::timeline_and_log});
}

void log_failure(const host_state& self, reducer_context& context, const ingress_request& request,
                 const ingress_attempt& attempt, std::uint16_t status)
{
    const bool is_idempotent_request = request.m_idempotency == routing::idempotency::idempotent;
    emit(context, record_event{"failure-passed-on",
                               {{"request", std::string{caller_request_id_of(request)}},
                                {"attempt", to_string(attempt.m_id)},
                                {"upstream", attempt.m_destination.m_upstream.m_endpoint},
                                {"route", request.m_route->m_name},
                                {"status", std::to_string(status)},
                                {"repeatable", is_idempotent_request ? "yes" : "no"},
                                {"attempts", attempt_summary_of(request)},
                                {"retries_left",
                                 fmt::format("{:.2f}", retries_left(self.m_ingress.m_retry_budget,
                                                                    request.m_service))}},
                               record_target::timeline_and_log});
}

void log_caller_left(reducer_context& context, const ingress_request& request)
{
    emit(context,
         record_event{
             "caller-left",
             {{"request", std::string{caller_request_id_of(request)}},
              {"route", request.m_route->m_name},
              {"waited_ms", std::to_string(to_milliseconds(context.m_now - request.m_arrived_at))},
              {"attempts", attempt_summary_of(request)}},
             record_target::timeline_and_log});
}

} // namespace chivevane::ingress
