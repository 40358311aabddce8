// This file implements how a `host_process` ends: the last answers are written, then all listeners
// are closed and the loop stops.

#include "libbase/clock.h"
#include "libbase/log_line.h"
#include "libhost/host_process.h"

#include <utility>

namespace chivevane {

namespace {

/// Longest wait until the last answers are written when the process ends.
constexpr duration max_flush_time = 400ms;
constexpr duration flush_check_interval = 20ms;

} // namespace

void host_process::execute(const stop_process&)
{
    if (std::exchange(m_is_stopped, true)) {
        return;
    }
    m_timer.cancel();
    for (const auto& body : std::exchange(m_events, {})) {
        if (const auto* const request = std::get_if<inbound_request>(&body)) {
            refuse_unhandled(request->m_exchange);
        }
    }
    m_flush_deadline = current_time() + max_flush_time;
    stop_when_flushed();
}

/// Stops the loop when the last answers are written and their connections closed, or when the
/// deadline for this has passed.
void host_process::stop_when_flushed()
{
    m_caller_server.close_idle_connections();
    m_gate_server.close_idle_connections();
    const auto open = m_caller_server.connection_count() + m_gate_server.connection_count();
    if (open > 0 && current_time() < m_flush_deadline) {
        m_stop_timer.expires_after(flush_check_interval);
        m_stop_timer.async_wait([this](const asio::error_code& cancelled) {
            if (!cancelled) {
                stop_when_flushed();
            }
        });
        return;
    }
    if (m_control_socket) {
        m_control_socket->close();
    }
    m_caller_server.close();
    m_gate_server.close();
    for (auto* const server :
         {&m_admin_server, &m_announce_server, &m_ready_server, &m_metrics_server}) {
        server->close();
    }
    write_log(log_line{"host-stopped"}.add("host", m_settings.m_policy.m_self.m_name));
    m_loop.stop();
}

} // namespace chivevane
