#include "libhost/host_process.h"

#include "libadmin/answer_admin_request.h"
#include "libbase/clock.h"
#include "libbase/digest.h"
#include "libbase/result.h"
#include "libhost/caller_limits_in_force.h"
#include "libhost/document_exchange.h"
#include "libhost/listener_options.h"
#include "libhost/run_loop.h"
#include "libhost/shared_secret.h"
#include "libpolicy/configuration/configuration.h"
#include "libpolicy/reduce.h"
#include "libpolicy/refusal.h"

#include <algorithm>
#include <asio/post.hpp>
#include <glog/logging.h>
#include <utility>

namespace chivevane {

namespace {

/// Sets the incarnation and the random seed. The incarnation is the wall clock time, so that it
/// grows with every start of a host of the same name.
daemon_settings with_incarnation(daemon_settings settings)
{
    settings.m_policy.m_self.m_incarnation = static_cast<std::uint64_t>(current_wall_ms());
    settings.m_policy.m_random_seed = stable_hash(random_hex(16));
    return settings;
}

/// Lateness of a timer from which it is logged.
constexpr duration logged_timer_lateness = 200ms;

std::uint64_t hash_of(const std::string& body)
{
    return body.empty() ? 0 : stable_hash(body);
}

/// Returns what changes once this host learns that the store came back from an older copy.
std::pair<std::uint64_t, std::uint64_t> known_returns(const host_state& self)
{
    return {self.m_configuration.m_store_reversions, self.m_membership.m_registration.m_store_era};
}

} // namespace

host_process::host_process(asio::io_context& loop, daemon_settings settings, platform_hooks hooks)
    : m_loop(loop),
      m_settings(with_incarnation(std::move(settings))),
      m_memory(std::make_shared<memory_budget>(budget_capacity(m_settings.m_memory_limit_mb))),
      m_timer(loop),
      m_hooks(std::move(hooks)),
      m_client(loop),
      m_store(m_hooks.m_make_store(m_client, m_settings)),
      m_traffic_client(loop),
      m_transfers(
          m_traffic_client, m_exchanges,
          [this](transfer_update update) { enqueue_transfer_update(std::move(update)); }, m_memory),
      m_stop_timer(loop),
      m_caller_server(loop, caller_options(m_settings, open_file_limit(), m_memory),
                      {[this](received_request request) {
                           on_request(listener_kind::caller, m_caller_server, std::move(request));
                       },
                       [this](exchange_id exchange) { on_disconnect(exchange); }},
                      m_last_exchange),
      m_gate_server(loop, gate_options(m_settings, open_file_limit(), m_memory),
                    {[this](received_request request) {
                         on_request(listener_kind::gate, m_gate_server, std::move(request));
                     },
                     [this](exchange_id exchange) { on_disconnect(exchange); }},
                    m_last_exchange),
      m_admin_server(loop, admin_options(m_settings),
                     {[this](const received_request& request) { on_admin_request(request); },
                      [this](exchange_id exchange) { m_exchanges.erase(exchange); }},
                     m_last_exchange),
      m_announce_server(loop, announcement_options(m_settings, open_file_limit()),
                        {[this](const received_request& request) { on_announcement(request); },
                         [](exchange_id) {}},
                        m_last_exchange),
      m_ready_server(loop, readiness_options(m_settings, open_file_limit()),
                     {[this](const received_request& request) { on_ready_request(request); },
                      [](exchange_id) {}},
                     m_last_exchange),
      m_metrics_server(loop, metrics_options(m_settings, open_file_limit()),
                       {[this](const received_request& request) { on_metrics_request(request); },
                        [](exchange_id) {}},
                       m_last_exchange)
{
    m_timeline.m_capacity = m_settings.m_timeline_entries;
    m_memory->m_on_event = [this](memory_event event) { log_memory_event(event); };
}

host_process::~host_process()
{
    m_memory->m_on_event = nullptr; // Handlers that wait in the loop may share the budget.
}

void host_process::open()
{
    m_caller_server.open();
    m_gate_server.open();
    m_admin_server.open();
    m_announce_server.open();
    if (m_settings.m_readiness_port != 0) {
        m_ready_server.open();
    }
    if (m_settings.m_metrics_port != 0) {
        m_metrics_server.open();
    }
    if (m_settings.m_shared_secret_store_key.empty()) {
        start_with_secret(m_settings.m_policy.m_shared_secret);
        return;
    }
    obtain_shared_secret(m_loop, m_store, m_settings.m_shared_secret_store_key,
                         [this](std::string secret) { start_with_secret(std::move(secret)); });
}

void host_process::start_with_secret(std::string secret)
{
    auto& policy = m_settings.m_policy;
    policy.m_shared_secret = std::move(secret);
    m_control_socket = std::make_unique<control_socket>(
        m_loop, policy.m_address, policy.m_self, policy.m_shared_secret,
        [this](datagram_received received) {
            m_last_timestamp =
                merge_hybrid_time(m_last_timestamp, received.m_sent_at, current_wall_ms());
            enqueue(std::move(received));
        });
    auto started = start_host(policy, current_time(), current_wall_ms());
    m_host_state = std::move(started.m_state);
    execute(record_event{"host-started",
                         {{"datacentre", policy.m_datacentre},
                          {"ip", policy.m_address.m_ip},
                          {"incarnation", std::to_string(policy.m_self.m_incarnation)}},
                         record_target::timeline_and_log});
    execute_all(started.m_effects);
    set_timer();
}

void host_process::update_settings(const daemon_settings& settings)
{
    auto& policy = m_host_state.m_settings;
    policy.m_service = settings.m_policy.m_service;
    policy.m_shutdown_limit = settings.m_policy.m_shutdown_limit;
    policy.m_shutdown_notice_period = settings.m_policy.m_shutdown_notice_period;
    execute(record_event{
        "settings-reloaded", {{"service", policy.m_service}}, record_target::timeline_and_log});
}

void host_process::request_leave()
{
    if (!m_control_socket) {
        execute(stop_process{}); // The shared secret is not known, so no work has started.
        return;
    }
    execute(record_event{"leave-requested", {}, record_target::timeline_and_log});
    m_caller_server.announce_connection_close();
    m_gate_server.announce_connection_close();
    enqueue(leave_requested{});
}

void host_process::on_request(listener_kind listener, traffic_server& server,
                              received_request request)
{
    const bool is_document = listener == listener_kind::gate && is_document_request(request.m_head);
    if (is_document && m_control_socket && !m_is_stopped) {
        answer_document_request(server, request, m_host_state.m_configuration,
                                m_settings.m_policy.m_shared_secret, m_document_answers);
        return;
    }
    const auto hash = hash_of(*request.m_body);
    const auto size = request.m_body->size();
    auto& exchange = m_exchanges[request.m_exchange];
    exchange = {&server, std::move(request.m_body), current_time()};
    if (listener == listener_kind::caller) {
        request.m_head = m_hooks.m_read_caller_request(std::move(request.m_head));
        exchange.m_request = request.m_head;
    }
    if (!m_control_socket || m_is_stopped) {
        refuse_unhandled(request.m_exchange);
        return;
    }
    enqueue(inbound_request{request.m_exchange, listener, std::move(request.m_head), size, hash});
}

/// Refuses a request that does not reach the reducer, because the reducer has not started yet or
/// has stopped already.
void host_process::refuse_unhandled(exchange_id exchange)
{
    const auto reason = m_is_stopped ? refusal_kind::leaving : refusal_kind::not_ready;
    execute(make_refusal(exchange, {reason, request_outcome::not_run, 1s}));
}

void host_process::on_announcement(const received_request& request)
{
    if (!m_control_socket) {
        m_announce_server.respond(request.m_exchange, {503, {}}, {});
        return;
    }
    auto answer = m_hooks.m_read_announcement(request);
    // The answer commits this host to the announcement, so the announcement is applied first.
    const auto max_slots = max_upstream_slots(m_settings, open_file_limit());
    for (auto& announcement : answer.m_announcements) {
        announcement.m_slots = std::min(announcement.m_slots, max_slots);
        handle(std::move(announcement));
    }
    set_timer();
    m_announce_server.respond(request.m_exchange, answer.m_head, std::move(answer.m_body));
}

void host_process::on_ready_request(const received_request& request)
{
    const bool is_ready =
        m_control_socket && !m_host_state.m_leave_deadline &&
        configuration::may_serve(m_host_state.m_configuration,
                                 m_host_state.m_settings.m_unconfirmed_documents_policy,
                                 current_time());
    m_ready_server.respond(request.m_exchange,
                           {is_ready ? std::uint16_t{200} : std::uint16_t{503}, {}},
                           is_ready ? "ready\n" : "not ready\n");
}

void host_process::on_admin_request(const received_request& request)
{
    const auto edit_id = random_hex(16);
    auto decided = answer_admin_request(
        {m_host_state, m_timeline, current_counters(), m_settings.m_operator_token, current_time()},
        {request.m_exchange, request.m_head, *request.m_body, edit_id});
    if (auto* const answer = std::get_if<respond>(&decided)) {
        m_admin_server.respond(request.m_exchange, answer->m_head, std::move(answer->m_body));
        return;
    }
    m_exchanges[request.m_exchange] = {&m_admin_server, nullptr};
    if (auto* const submission = std::get_if<document_submitted>(&decided)) {
        enqueue(std::move(*submission));
    }
    else {
        enqueue(std::get<host_declared_dead>(std::move(decided)));
    }
}

void host_process::on_disconnect(exchange_id exchange)
{
    m_exchanges.erase(exchange);
    enqueue(inbound_disconnected{exchange});
}

void host_process::enqueue(event_body body)
{
    m_events.push_back(std::move(body));
    if (!m_is_dispatch_posted) {
        m_is_dispatch_posted = true;
        asio::post(m_loop, [this] { dispatch_events(); });
    }
}

/// Enqueues an update of a transfer. The head of an answer from an upstream is translated first.
void host_process::enqueue_transfer_update(transfer_update update)
{
    if (auto* const end = std::get_if<transfer_ended>(&update)) {
        m_upstream_requests.erase(end->m_transfer);
        enqueue(std::move(*end));
        return;
    }
    auto& answer = std::get<transfer_head>(update);
    if (const auto sent = m_upstream_requests.find(answer.m_transfer);
        sent != m_upstream_requests.end()) {
        answer.m_head = translate_upstream_head(sent->second, std::move(answer.m_head));
    }
    enqueue(std::move(answer));
}

response_head host_process::translate_upstream_head(const upstream_request& sent,
                                                    response_head head)
{
    if (sent.m_peer == transfer_peer::upstream_health) {
        return m_hooks.m_read_health_answer(std::move(head));
    }
    // The reducer takes an answer with another request id for the answer to another request. The
    // empty id marks an answer that the hook could not match to the request as such.
    return m_hooks.m_read_upstream_answer(sent.m_head, std::move(head))
        .value_or(response_head{502, {{"X-Request-Id", ""}}});
}

/// Handles an event. An exception ends the handling of this event only, so that the events behind
/// it are still handled and the timer is set.
void host_process::handle_guarded(event_body body)
{
    try {
        handle(std::move(body));
    }
    catch (const std::exception& problem) {
        log_failed_handler(problem);
    }
}

void host_process::dispatch_events()
{
    m_is_dispatch_posted = false;
    while (!m_events.empty() && !m_is_stopped) {
        auto body = std::move(m_events.front());
        m_events.pop_front();
        if (!is_stale(body)) {
            handle_guarded(std::move(body));
        }
    }
    refresh_caller_limits();
    set_timer();
}

/// Applies the caller limits of the documents in force if the documents have changed.
void host_process::refresh_caller_limits()
{
    const auto digest = configuration::digest_of(m_host_state.m_configuration);
    if (digest == std::exchange(m_limits_digest, digest)) {
        return;
    }
    apply_caller_limits(m_caller_server, caller_options(m_settings, 0, nullptr),
                        largest_caller_limits(m_host_state.m_configuration));
}

/// Returns whether `body` is about a transfer that was cancelled while the event was in the queue.
bool host_process::is_stale(const event_body& body) const
{
    if (const auto* head = std::get_if<transfer_head>(&body)) {
        return !m_transfers.is_known(head->m_transfer);
    }
    if (const auto* end = std::get_if<transfer_ended>(&body)) {
        return !m_transfers.is_known(end->m_transfer);
    }
    return false;
}

void host_process::handle(event_body body)
{
    if (const auto* end = std::get_if<transfer_ended>(&body)) {
        m_transfers.forget(end->m_transfer);
    }
    const auto earlier_returns = known_returns(m_host_state);
    execute_all(reduce(m_host_state, {current_time(), current_wall_ms(), std::move(body)}));
    if (const auto& key = m_settings.m_shared_secret_store_key;
        !key.empty() && known_returns(m_host_state) != earlier_returns) {
        restore_shared_secret(m_loop, m_store, key, m_settings.m_policy.m_shared_secret);
    }
}

void host_process::set_timer()
{
    if (m_is_stopped) {
        return;
    }
    // Each deadline that falls due gets a timer event of its own. The minimum wait prevents a busy
    // loop.
    constexpr duration min_wait = 1ms;
    const auto due = std::max(next_wakeup(m_host_state), current_time() + min_wait);
    constexpr duration max_wait = 1h;
    m_timer.expires_at(std::min(due, current_time() + max_wait));
    m_timer.async_wait([this](const asio::error_code& problem) {
        if (!problem) {
            record_late_timer(
                std::chrono::duration_cast<duration>(current_time() - m_timer.expiry()));
            enqueue(timer_fired{});
        }
    });
}

/// Logs that a timer fired late, as the loop was busy or had no processor time.
void host_process::record_late_timer(duration lateness)
{
    if (lateness > logged_timer_lateness) {
        execute(record_event{"loop-late",
                             {{"late_ms", std::to_string(to_milliseconds(lateness))},
                              {"events", std::to_string(m_events.size())}},
                             record_target::timeline_and_log});
    }
}

hybrid_time host_process::next_timestamp()
{
    m_last_timestamp = next_hybrid_time(m_last_timestamp, current_wall_ms());
    return m_last_timestamp;
}

} // namespace chivevane
