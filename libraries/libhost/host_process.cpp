#include "libhost/host_process.h"

#include "libadmin/answer_admin_request.h"
#include "libbase/digest.h"
#include "libbase/log_line.h"
#include "libbase/result.h"
#include "libdocument/parse_document.h"
#include "libhost/announcement.h"
#include "libhost/document_exchange.h"
#include "libhost/process_usage.h"
#include "libpolicy/reduce.h"

#include <asio/post.hpp>
#include <glog/logging.h>

namespace chivevane {

namespace {

instant current_time()
{
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

std::int64_t current_wall_ms()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

std::vector<store_address> store_addresses(const node_settings& settings)
{
    std::vector<store_address> addresses;
    for (const auto& endpoint : settings.m_stores) {
        addresses.push_back({endpoint.m_ip, endpoint.m_port});
    }
    return addresses;
}

/// The wall clock makes the incarnation grow with every start on the same name.
node_settings with_incarnation(node_settings settings)
{
    settings.m_policy.m_self.m_incarnation = static_cast<std::uint64_t>(current_wall_ms());
    settings.m_policy.m_random_seed = stable_hash(random_hex(16));
    return settings;
}

/// A whole document fits, whatever callers may send.
http_server_options admin_options(http_server_options options)
{
    options.m_max_body_size = std::max(options.m_max_body_size, max_document_size);
    return options;
}

std::uint64_t hash_of(const std::string& body)
{
    return body.empty() ? 0 : stable_hash(body);
}

} // namespace

host_process::host_process(asio::io_context& loop, node_settings settings)
    : m_loop(loop),
      m_settings(with_incarnation(std::move(settings))),
      m_timer(loop),
      m_client(loop),
      m_store(m_client, store_addresses(m_settings)),
      m_transfers(m_client, m_exchanges,
                  [this](transfer_news news) {
                      std::visit([this](auto& item) { enqueue(std::move(item)); }, news);
                  }),
      m_control(loop, m_settings.m_policy.m_address, m_settings.m_policy.m_self,
                m_settings.m_policy.m_shared_secret,
                [this](datagram_received received) {
                    m_clock = merge_reading(m_clock, received.m_sent_at, current_wall_ms());
                    enqueue(std::move(received));
                }),
      m_caller_server(loop, listener_options(m_settings.m_policy.m_address.m_caller_port),
                      {[this](received_request request) {
                           on_request(listener_kind::caller, m_caller_server, std::move(request));
                       },
                       [this](exchange_id exchange) { on_gone(exchange); }},
                      m_last_exchange),
      m_gate_server(loop, listener_options(m_settings.m_policy.m_address.m_gate_port),
                    {[this](received_request request) {
                         on_request(listener_kind::gate, m_gate_server, std::move(request));
                     },
                     [this](exchange_id exchange) { on_gone(exchange); }},
                    m_last_exchange),
      m_admin_server(loop,
                     admin_options(listener_options(m_settings.m_policy.m_address.m_admin_port)),
                     {[this](const received_request& request) { on_admin_request(request); },
                      [this](exchange_id exchange) { m_exchanges.erase(exchange); }},
                     m_last_exchange),
      m_announce_server(loop, listener_options(m_settings.m_announce_port),
                        {[this](const received_request& request) { on_announcement(request); },
                         [](exchange_id) {}},
                        m_last_exchange)
{
    m_timeline.m_capacity = m_settings.m_timeline_entries;
}

host_process::~host_process() = default;

void host_process::open()
{
    m_caller_server.open();
    m_gate_server.open();
    m_admin_server.open();
    m_announce_server.open();
    auto started = start_node(m_settings.m_policy, current_time(), current_wall_ms());
    m_node = std::move(started.m_state);
    carry_out(record_event{"host-started",
                           {{"datacentre", m_settings.m_policy.m_datacentre},
                            {"ip", m_settings.m_policy.m_address.m_ip}},
                           record_target::timeline_and_log});
    carry_out_all(started.m_effects);
    set_timer();
}

void host_process::request_leave()
{
    enqueue(leave_requested{});
}

http_server_options host_process::listener_options(std::uint16_t port) const
{
    http_server_options options;
    options.m_ip = m_settings.m_listen_ip;
    options.m_port = port;
    options.m_max_head_size = m_settings.m_max_head_size;
    options.m_max_body_size = m_settings.m_max_body_size;
    return options;
}

void host_process::on_request(listener_kind listener, http_server& server, received_request request)
{
    if (listener == listener_kind::gate && is_document_request(request.m_head)) {
        answer_document_request(server, request, m_node.m_configuration,
                                m_settings.m_policy.m_shared_secret);
        return;
    }
    const auto hash = hash_of(*request.m_body);
    const auto size = request.m_body->size();
    m_exchanges[request.m_exchange] = {&server, std::move(request.m_body), current_time()};
    enqueue(inbound_request{request.m_exchange, listener, std::move(request.m_head), size, hash});
}

void host_process::on_announcement(const received_request& request)
{
    auto news = parse_announcement(*request.m_body);
    if (is_error(news)) {
        m_announce_server.respond(request.m_exchange, {400, {}}, describe(error_of(news)));
        return;
    }
    enqueue(value_of(std::move(news)));
    m_announce_server.respond(request.m_exchange, {204, {}}, {});
}

void host_process::on_admin_request(const received_request& request)
{
    const auto edit_id = random_hex(16);
    auto decided = answer_admin_request(
        {m_node, m_timeline, current_counters(), m_settings.m_operator_token, current_time()},
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

void host_process::on_gone(exchange_id exchange)
{
    m_exchanges.erase(exchange);
    enqueue(inbound_gone{exchange});
}

void host_process::enqueue(event_body body)
{
    m_events.push_back(std::move(body));
    if (!m_is_drain_posted) {
        m_is_drain_posted = true;
        asio::post(m_loop, [this] { drain(); });
    }
}

void host_process::drain()
{
    m_is_drain_posted = false;
    while (!m_events.empty() && !m_is_stopped) {
        auto body = std::move(m_events.front());
        m_events.pop_front();
        if (!is_stale(body)) {
            handle(std::move(body));
        }
    }
    set_timer();
}

/// News of a transfer that was cancelled while the news waited in the queue.
bool host_process::is_stale(const event_body& body) const
{
    if (const auto* head = std::get_if<transfer_head>(&body)) {
        return !m_transfers.is_wanted(head->m_transfer);
    }
    if (const auto* end = std::get_if<transfer_ended>(&body)) {
        return !m_transfers.is_wanted(end->m_transfer);
    }
    return false;
}

void host_process::handle(event_body body)
{
    if (const auto* end = std::get_if<transfer_ended>(&body)) {
        m_transfers.forget(end->m_transfer);
    }
    carry_out_all(reduce(m_node, {current_time(), current_wall_ms(), std::move(body)}));
}

void host_process::set_timer()
{
    if (m_is_stopped) {
        return;
    }
    // An event of its own for each due deadline, but never a busy loop.
    constexpr duration shortest_wait = 1ms;
    const auto due = std::max(next_wakeup(m_node), current_time() + shortest_wait);
    constexpr duration longest_wait = 1h;
    m_timer.expires_at(std::min(due, current_time() + longest_wait));
    m_timer.async_wait([this](const asio::error_code& problem) {
        if (!problem) {
            enqueue(timer_fired{});
        }
    });
}

void host_process::carry_out_all(const effect_list& effects)
{
    for (const auto& item : effects) {
        if (m_is_stopped) {
            return;
        }
        std::visit([this](const auto& order) { carry_out(order); }, item);
    }
}

void host_process::carry_out(const respond& order)
{
    if (const auto node = m_exchanges.extract(order.m_exchange); !node.empty()) {
        node.mapped().m_server->respond(order.m_exchange, order.m_head, order.m_body);
        count_answer(node.mapped(), order.m_head.m_status);
    }
}

void host_process::carry_out(const start_transfer& order)
{
    m_transfers.start(order);
}

void host_process::carry_out(const cancel_transfer& order)
{
    m_transfers.cancel(order);
}

void host_process::carry_out(const relay_transfer& order)
{
    if (const auto held = m_exchanges.find(order.m_exchange);
        held != m_exchanges.end() && order.m_head) {
        held->second.m_status = order.m_head->m_status;
    }
    m_transfers.relay(order);
}

void host_process::carry_out(const finish_exchange& order)
{
    if (const auto node = m_exchanges.extract(order.m_exchange); !node.empty()) {
        node.mapped().m_server->finish(order.m_exchange);
        count_answer(node.mapped(), node.mapped().m_status);
    }
}

void host_process::carry_out(const abort_exchange& order)
{
    if (const auto node = m_exchanges.extract(order.m_exchange); !node.empty()) {
        node.mapped().m_server->abort(order.m_exchange);
        if (node.mapped().m_server == &m_caller_server) {
            ++m_counters.m_caller_aborts;
        }
    }
}

void host_process::carry_out(const send_datagram& order)
{
    m_control.send(order.m_to, order.m_message, stamp());
}

void host_process::carry_out(const call_store& order)
{
    m_store.run(order.m_operation, [this, id = order.m_operation_id,
                                    purpose = order.m_purpose](store_outcome outcome) {
        m_counters.m_store_failures += std::holds_alternative<store_failure>(outcome) ? 1 : 0;
        enqueue(store_response{id, purpose, std::move(outcome)});
    });
}

void host_process::carry_out(const fetch_document& order)
{
    request_document(m_client, order, m_settings.m_policy.m_shared_secret,
                     [this](document_fetched answer) { enqueue(std::move(answer)); });
}

void host_process::carry_out(const record_event& order)
{
    timeline_entry entry{stamp(), m_settings.m_policy.m_self.m_name, order.m_name, order.m_fields};
    if (order.m_target == record_target::timeline_and_log) {
        LOG(INFO) << to_log_text(entry);
    }
    append_entry(m_timeline, std::move(entry));
}

void host_process::carry_out(const stop_process&)
{
    m_is_stopped = true;
    m_timer.cancel();
    m_control.close();
    for (auto* const server :
         {&m_caller_server, &m_gate_server, &m_admin_server, &m_announce_server}) {
        server->close();
    }
    write_log(log_line{"host-stopped"}.add("host", m_settings.m_policy.m_self.m_name));
    m_loop.stop();
}

void host_process::count_answer(const held_exchange& ended, std::uint16_t http_status)
{
    if (ended.m_server == &m_caller_server) {
        ++m_counters.m_caller_answers[http_status];
        m_counters.m_caller_latency.record(current_time() - ended.m_received_at);
    }
}

host_counters host_process::current_counters() const
{
    auto counters = m_counters;
    const auto& control = m_control.counters();
    counters.m_datagrams_received = control.m_received;
    counters.m_datagrams_refused = control.m_dropped_malformed + control.m_dropped_unauthenticated;
    counters.m_datagrams_sent = control.m_sent;
    counters.m_datagram_bytes_sent = control.m_sent_bytes;
    counters.m_store_calls = m_store.calls();
    const auto usage = measure_process_usage();
    counters.m_processor_seconds = usage.m_processor_seconds;
    counters.m_resident_bytes = usage.m_resident_bytes;
    return counters;
}

hybrid_time host_process::stamp()
{
    m_clock = next_reading(m_clock, current_wall_ms());
    return m_clock;
}

} // namespace chivevane
