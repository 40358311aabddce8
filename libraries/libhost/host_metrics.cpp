// This file implements what a `host_process` counts and logs about itself.

#include "libadmin/metrics_text.h"
#include "libbase/clock.h"
#include "libbase/log_line.h"
#include "libhost/host_process.h"
#include "libhost/process_usage.h"

namespace chivevane {

void host_process::on_metrics_request(const received_request& request)
{
    const auto counters = current_counters();
    m_metrics_server.respond(request.m_exchange,
                             {200, {{"Content-Type", "text/plain; version=0.0.4"}}},
                             format_metrics({m_host_state, m_timeline, counters,
                                             m_settings.m_operator_token, current_time()}));
}

void host_process::count_answer(const pending_exchange& ended, std::uint16_t http_status)
{
    if (ended.m_server == &m_caller_server) {
        ++m_counters.m_caller_answers[http_status];
        m_counters.m_caller_latency.record(current_time() - ended.m_received_at);
    }
}

host_counters host_process::current_counters() const
{
    auto counters = m_counters;
    const auto datagrams = m_control_socket ? m_control_socket->counters() : control_counters{};
    counters.m_datagrams_received = datagrams.m_received;
    counters.m_datagrams_refused =
        datagrams.m_dropped_malformed + datagrams.m_dropped_unauthenticated;
    counters.m_datagrams_sent = datagrams.m_sent;
    counters.m_datagram_bytes_sent = datagrams.m_sent_bytes;
    counters.m_store_calls = m_store_calls;
    const auto usage = measure_process_usage();
    counters.m_processor_seconds = usage.m_processor_seconds;
    counters.m_resident_bytes = usage.m_resident_bytes;
    counters.m_memory_capacity_bytes = m_memory->capacity();
    counters.m_memory_reserved_bytes = m_memory->reserved();
    const auto& memory = m_memory->counters();
    counters.m_refused_bodies = memory.m_refused_bodies;
    counters.m_evicted_bodies = memory.m_evicted_bodies;
    counters.m_unbuffered_answers = memory.m_unbuffered_answers;
    counters.m_closed_readers = memory.m_closed_readers;
    counters.m_closed_connections = memory.m_closed_connections;
    return counters;
}

/// Logs what the budget did, at most one line in a second for each kind of event.
void host_process::log_memory_event(memory_event event)
{
    const auto now = current_time();
    const auto count = count_memory_event(m_memory_event_log, event, now);
    const auto& host = m_settings.m_policy.m_self.m_name;
    if (count > 0 && allow_log_line(m_log_rate_limit, now, host)) {
        write_warning(log_line{name_of(event)}
                          .add("host", host)
                          .add("count", count)
                          .add("reserved_bytes", m_memory->reserved())
                          .add("capacity_bytes", m_memory->capacity()));
    }
}

} // namespace chivevane
