#pragma once

#include "libadmin/host_counters.h"
#include "libadmin/timeline.h"
#include "libhost/control_socket.h"
#include "libhost/document_exchange.h"
#include "libhost/exchange_table.h"
#include "libhost/log_rate_limit.h"
#include "libhost/memory_event_log.h"
#include "libhost/platform_hooks.h"
#include "libhost/transfer_runner.h"
#include "libhttp/http_client.h"
#include "libhttp/http_server.h"
#include "libhttp/memory_budget.h"
#include "libhttp/traffic_client.h"
#include "libhttp/traffic_server.h"
#include "libpolicy/event.h"
#include "libpolicy/host_state.h"
#include "libsettings/daemon_settings.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace chivevane {

/// A request that an upstream has not answered yet, in the form that the reducer gave it before
/// `platform_hooks` translated it.
struct upstream_request {
    transfer_peer m_peer = transfer_peer::upstream;
    request_head m_head;
};

/// The event loop of one host. It turns the activity of its sockets and timers into events, passes
/// them one by one to `reduce`, and executes the returned effects. All decisions are made in
/// `reduce`.
class host_process {
public:
    host_process(asio::io_context& loop, daemon_settings settings,
                 platform_hooks hooks = native_hooks());
    ~host_process();
    host_process(const host_process&) = delete;
    host_process& operator=(const host_process&) = delete;

    /// Opens all listeners. Throws std::exception if an address cannot be bound.
    void open();

    /// Starts the graceful shutdown. The loop is stopped once it completes. A second call shuts
    /// down at once, and waits only until the last answers are written.
    void request_leave();

    /// Applies the settings that may change while the process runs, which are the service of the
    /// local upstream, the shutdown limit and the shutdown notice. The others keep the values that
    /// they had at the start.
    void update_settings(const daemon_settings& settings);

private:
    void start_with_secret(std::string secret);
    void on_request(listener_kind listener, traffic_server& server, received_request request);
    void refuse_unhandled(exchange_id exchange);
    void on_announcement(const received_request& request);
    void on_ready_request(const received_request& request);
    void on_metrics_request(const received_request& request);
    void on_admin_request(const received_request& request);
    void on_disconnect(exchange_id exchange);

    void enqueue(event_body body);
    void enqueue_transfer_update(transfer_update update);
    response_head translate_upstream_head(const upstream_request& sent, response_head head);
    void handle_guarded(event_body body);
    void dispatch_events();
    void refresh_caller_limits();
    void stop_when_flushed();
    bool is_stale(const event_body& body) const;
    void handle(event_body body);
    void set_timer();
    void record_late_timer(duration lateness);

    void execute_all(const effect_list& effects);
    void execute(const respond& command);
    void execute(const start_transfer& command);
    void execute(const cancel_transfer& command);
    void execute(const relay_transfer& command);
    void execute(const finish_exchange& command);
    void execute(const abort_exchange& command);
    void execute(const send_datagram& command);
    void execute(const call_store& command);
    void execute(const fetch_document& command);
    void execute(const record_event& command);
    void execute(const stop_process& command);

    /// Counts an ended answer with its status and latency if it went to a caller.
    void count_answer(const pending_exchange& ended, std::uint16_t http_status);
    host_counters current_counters() const;
    void log_memory_event(memory_event event);
    hybrid_time next_timestamp();

    asio::io_context& m_loop;
    daemon_settings m_settings;
    host_state m_host_state;
    timeline m_timeline;
    host_counters m_counters; ///< Without the values that `current_counters` adds.
    log_rate_limit m_log_rate_limit;
    std::shared_ptr<memory_budget> m_memory;
    memory_event_log m_memory_event_log;
    hybrid_time m_last_timestamp; ///< The last timestamp of the hybrid logical clock.
    exchange_table m_exchanges;
    document_answer_cache m_document_answers;
    exchange_id m_last_exchange = 0;
    std::deque<event_body> m_events;
    bool m_is_dispatch_posted = false;
    bool m_is_stopped = false;
    asio::steady_timer m_timer;
    platform_hooks m_hooks;
    http_client m_client;
    store_runner m_store;
    std::uint64_t m_store_calls = 0;
    traffic_client m_traffic_client;
    transfer_runner m_transfers;
    std::unordered_map<transfer_id, upstream_request> m_upstream_requests;
    /// The control socket, which is null until the shared secret is known.
    std::unique_ptr<control_socket> m_control_socket;
    /// The digest of the documents from which the caller limits were last computed.
    std::uint64_t m_limits_digest = 0;
    asio::steady_timer m_stop_timer;
    instant m_flush_deadline;
    traffic_server m_caller_server;
    traffic_server m_gate_server;
    http_server m_admin_server;
    http_server m_announce_server;
    http_server m_ready_server;
    http_server m_metrics_server;
};

} // namespace chivevane
