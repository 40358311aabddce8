#include "libpolicy/gate/health_checks.h"

#include "libpolicy/admission/admission.h"
#include "libpolicy/configuration/configuration.h"
#include "libpolicy/gate/running_attempts.h"
#include "libpolicy/host_state.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <string>
#include <system_error>
#include <utility>

namespace chivevane::gate {

namespace {

/// Time between two health checks of one upstream, as each occupies a slot for a moment.
constexpr duration min_check_interval = 340ms;

/// An upstream with no free slot answers late, but then it has no use for a higher start rate
/// either.
constexpr duration answer_timeout = 1s;
constexpr duration connect_timeout = 200ms;

/// Bytes of the answer's body that are buffered. Only the head is evaluated.
constexpr std::size_t body_buffer_limit = 4096;

constexpr std::string_view endpoint_field = "X-Endpoint";
constexpr std::string_view cold_left_field = "X-Cold-Ms";

constexpr std::uint16_t status_ok = 200;

/// Whether the answer comes from `endpoint`. An answer that names no endpoint passes.
bool is_from(const response_head& head, std::string_view endpoint)
{
    return find_field(head.m_fields, endpoint_field).value_or(endpoint) == endpoint;
}

/// Whether the answer says that the upstream is cold. A malformed field counts as cold.
bool is_cold(const response_head& head)
{
    const auto left = find_field(head.m_fields, cold_left_field);
    if (!left) {
        return false;
    }
    double milliseconds = 0;
    const auto [stop, problem] =
        std::from_chars(left->data(), left->data() + left->size(), milliseconds);
    return problem != std::errc{} || milliseconds > 0;
}

void record_cold(reducer_context& context, std::string_view endpoint, const response_head& head)
{
    emit(context,
         record_event{"upstream-became-cold",
                      {{"endpoint", std::string{endpoint}},
                       {"cold_left_ms",
                        std::string{find_field(head.m_fields, cold_left_field).value_or("0")}}},
                      record_target::timeline_and_log});
}

void apply_answer(host_state& self, reducer_context& context, const health_check& check,
                  const response_head& head)
{
    const auto upstream = self.m_gate.m_upstreams.find(check.m_endpoint);
    if (upstream == self.m_gate.m_upstreams.end() || !is_from(head, check.m_endpoint)) {
        return;
    }
    if (is_cold(head)) {
        if (upstream->second.m_latest.m_warm_up_state == warm_up_state::warm) {
            record_cold(context, check.m_endpoint, head);
        }
        admission::mark_cold(self.m_admission, check.m_endpoint);
    }
    else if (head.m_status == status_ok) {
        admission::confirm_warm(self.m_admission, check.m_endpoint, check.m_sent_at);
        start_waiting(self, context);
    }
}

void send_check(host_state& self, reducer_context& context, const std::string& endpoint,
                const upstream_announcement& latest, const std::string& path)
{
    start_transfer order;
    order.m_transfer = next_id(context);
    order.m_ip = latest.m_ip;
    order.m_port = latest.m_port;
    order.m_head = {"GET", path, {{"Host", fmt::format("{}:{}", latest.m_ip, latest.m_port)}}};
    order.m_connect_timeout = connect_timeout;
    order.m_stall_timeout = answer_timeout;
    order.m_peer = transfer_peer::upstream_health;
    order.m_body_buffer_limit = body_buffer_limit;
    self.m_gate.m_health_checks[order.m_transfer] = {endpoint, context.m_now};
    emit(context, std::move(order));
}

} // namespace

void check_health_if_due(host_state& self, reducer_context& context, std::string_view endpoint)
{
    const auto found = self.m_gate.m_upstreams.find(endpoint);
    if (found == self.m_gate.m_upstreams.end() ||
        context.m_now < found->second.m_next_health_check ||
        !admission::needs_confirmation(self.m_admission, endpoint, context.m_now)) {
        return;
    }
    auto& upstream = found->second;
    const auto path =
        configuration::health_path_of(self.m_configuration, upstream.m_latest.m_service);
    if (!path.empty()) {
        upstream.m_next_health_check = context.m_now + min_check_interval;
        send_check(self, context, found->first, upstream.m_latest, path);
    }
}

bool owns_health_check(const gate_state& state, transfer_id transfer)
{
    return state.m_health_checks.contains(transfer);
}

void on_health_check_answer(host_state& self, reducer_context& context, const transfer_head& answer)
{
    apply_answer(self, context, self.m_gate.m_health_checks.at(answer.m_transfer), answer.m_head);
}

void on_health_check_ended(gate_state& state, const transfer_ended& end)
{
    state.m_health_checks.erase(end.m_transfer);
}

void expire_health_checks(gate_state& state, reducer_context& context)
{
    std::erase_if(state.m_health_checks, [&context](const auto& entry) {
        const auto& [transfer, check] = entry;
        const bool is_late = context.m_now >= check.m_sent_at + answer_timeout;
        if (is_late) {
            emit(context, cancel_transfer{transfer});
        }
        return is_late;
    });
}

instant next_health_check_timeout(const gate_state& state)
{
    auto earliest = instant::max();
    for (const auto& [transfer, check] : state.m_health_checks) {
        earliest = std::min<instant>(earliest, check.m_sent_at + answer_timeout);
    }
    return earliest;
}

} // namespace chivevane::gate
