#include "libpolicy/gate/upstream_statements.h"

#include "libpolicy/admission/admission.h"
#include "libpolicy/gate/local_upstreams.h"
#include "libpolicy/host_state.h"
#include "libpolicy/membership/departures.h"

#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <optional>
#include <string_view>
#include <system_error>

namespace chivevane::gate {

namespace {

/// Requests per second that the upstream accepts, as a decimal number.
constexpr std::string_view rate_field = "X-Accepted-Rate";

/// `1` if the upstream is leaving and accepts no new requests.
constexpr std::string_view leaving_field = "X-Leaving";

/// Returns the rate that an answer names; empty if it names none or none that can be read.
std::optional<double> rate_of(const response_head& head)
{
    const auto text = find_field(head.m_fields, rate_field).value_or("");
    double rate = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, problem] = std::from_chars(text.data(), end, rate);
    const bool is_valid = !text.empty() && problem == std::errc{} && stop == end;
    return is_valid && std::isfinite(rate) && rate >= 0 ? std::optional{rate} : std::nullopt;
}

void record_rate(reducer_context& context, std::string_view endpoint, std::optional<double> rate)
{
    emit(context, record_event{"upstream-rate-changed",
                               {{"endpoint", std::string{endpoint}},
                                {"rate", rate ? fmt::format("{:.2f}", *rate) : "unlimited"}},
                               record_target::timeline_and_log});
}

void apply_rate(host_state& self, reducer_context& context, local_upstream& upstream,
                const gate_attempt& attempt, std::optional<double> rate)
{
    // An answer without a rate ends the limit only if its request was handed over after the rate
    // was last named, since answers overtake each other.
    if (!rate && (!upstream.m_named_rate || attempt.m_handed_over_at < upstream.m_rate_named_at)) {
        return;
    }
    if (rate) {
        upstream.m_rate_named_at = context.m_now;
    }
    if (rate != upstream.m_named_rate) {
        upstream.m_named_rate = rate;
        record_rate(context, attempt.m_metadata.m_endpoint, rate);
        admission::set_accepted_rate(self.m_admission, attempt.m_metadata.m_endpoint, rate,
                                     context.m_now);
    }
}

void apply_leaving(host_state& self, reducer_context& context, local_upstream& upstream,
                   const std::string& endpoint)
{
    if (upstream.m_has_said_leaving) {
        return;
    }
    upstream.m_has_said_leaving = true;
    emit(context, record_event{"upstream-says-leaving",
                               {{"endpoint", endpoint}},
                               record_target::timeline_and_log});
    membership::record_departure(self.m_membership, context, endpoint, upstream.m_latest.m_run);
    publish_upstreams(self);
}

} // namespace

void apply_statements(host_state& self, reducer_context& context, const gate_attempt& attempt,
                      const response_head& head)
{
    const auto found = self.m_gate.m_upstreams.find(attempt.m_metadata.m_endpoint);
    const bool is_of_this_run = found != self.m_gate.m_upstreams.end() &&
                                found->second.m_latest.m_run == attempt.m_upstream_run;
    if (!is_of_this_run) {
        return;
    }
    apply_rate(self, context, found->second, attempt, rate_of(head));
    if (find_field(head.m_fields, leaving_field) == "1") {
        apply_leaving(self, context, found->second, found->first);
        membership::report_departure_to(self.m_membership, context,
                                        attempt.m_metadata.m_attempt.m_ingress.m_name,
                                        found->first);
    }
}

bool is_leaving(const gate_state& state, std::string_view endpoint)
{
    const auto found = state.m_upstreams.find(endpoint);
    return found != state.m_upstreams.end() && found->second.m_has_said_leaving;
}

} // namespace chivevane::gate
