#include "libhost/transfer_runner.h"

#include <utility>

namespace chivevane {

namespace {

/// Reading pauses while more than this waits to be written, and goes on below half of it.
constexpr std::size_t max_unwritten_bytes = 256 * 1024;

} // namespace

transfer_runner::transfer_runner(request_sender& client, exchange_table& exchanges,
                                 std::function<void(transfer_news)> on_news)
    : m_client(client), m_exchanges(exchanges), m_on_news(std::move(on_news))
{
}

void transfer_runner::start(const start_transfer& order)
{
    const auto id = order.m_transfer;
    const auto held = m_exchanges.find(order.m_exchange);
    const bool has_body = order.m_exchange != 0;
    if (has_body && held == m_exchanges.end()) {
        // The body went with the caller; without it the request would be another.
        m_transfers[id] = {};
        m_on_news(transfer_ended{id, transfer_end::connect_failed, 0, "the caller has gone"});
        return;
    }
    outgoing_request request;
    request.m_ip = order.m_ip;
    request.m_port = order.m_port;
    request.m_head = order.m_head;
    request.m_connection = order.m_connection;
    request.m_connect_timeout = order.m_connect_timeout;
    request.m_stall_timeout = order.m_stall_timeout;
    if (has_body) {
        request.m_body = held->second.m_body;
    }
    m_transfers[id].m_held_limit = order.m_held_body;
    transfer_handlers handlers;
    handlers.m_on_head = [this, id](response_head head) { take_head(id, std::move(head)); };
    handlers.m_on_body = [this, id](std::string_view part) { return take_body(id, part); };
    handlers.m_on_end = [this, id](transfer_end end, std::string detail) {
        take_end(id, end, std::move(detail));
    };
    m_client.start(id, std::move(request), std::move(handlers));
}

void transfer_runner::take_head(transfer_id transfer, response_head head)
{
    const auto found = m_transfers.find(transfer);
    if (found == m_transfers.end()) {
        return;
    }
    found->second.m_held_head = std::move(head);
    if (found->second.m_held_limit == 0) {
        report_head(transfer, found->second);
    }
}

void transfer_runner::report_head(transfer_id transfer, running_transfer& item)
{
    if (auto head = std::exchange(item.m_held_head, std::nullopt)) {
        m_on_news(transfer_head{transfer, std::move(*head)});
    }
}

void transfer_runner::take_end(transfer_id transfer, transfer_end end, std::string detail)
{
    const auto found = m_transfers.find(transfer);
    if (found == m_transfers.end()) {
        return;
    }
    if (end == transfer_end::complete) {
        report_head(transfer, found->second);
    }
    m_on_news(transfer_ended{transfer, end, found->second.m_body_bytes, std::move(detail)});
}

void transfer_runner::cancel(const cancel_transfer& order)
{
    m_client.cancel(order.m_transfer);
    m_transfers.erase(order.m_transfer);
}

void transfer_runner::relay(const relay_transfer& order)
{
    const auto found = m_transfers.find(order.m_transfer);
    const auto held = m_exchanges.find(order.m_exchange);
    if (found == m_transfers.end() || held == m_exchanges.end()) {
        return;
    }
    found->second.m_relayed_to = order.m_exchange;
    if (order.m_head) {
        held->second.m_server->begin(order.m_exchange, *order.m_head);
    }
    if (!found->second.m_held_body.empty()) {
        write_part(order.m_transfer, found->second, std::exchange(found->second.m_held_body, {}));
    }
    if (found->second.m_is_paused) {
        found->second.m_is_paused = false;
        m_client.resume(order.m_transfer);
    }
}

void transfer_runner::write_part(transfer_id transfer, running_transfer& item, std::string part)
{
    const auto size = part.size();
    item.m_unwritten_bytes += size;
    m_exchanges.at(item.m_relayed_to)
        .m_server->write(item.m_relayed_to, std::move(part),
                         [this, transfer, size](bool) { on_written(transfer, size); });
}

flow transfer_runner::take_body(transfer_id transfer, std::string_view part)
{
    const auto found = m_transfers.find(transfer);
    if (found == m_transfers.end()) {
        return flow::pause;
    }
    auto& item = found->second;
    if (item.m_held_head) {
        item.m_held_body += part;
        item.m_body_bytes += part.size();
        if (item.m_held_body.size() > item.m_held_limit) {
            report_head(transfer, item);
        }
        return flow::ready;
    }
    const auto held = m_exchanges.find(item.m_relayed_to);
    if (held == m_exchanges.end() || item.m_unwritten_bytes > max_unwritten_bytes) {
        item.m_is_paused = true;
        return flow::pause;
    }
    item.m_body_bytes += part.size();
    write_part(transfer, item, std::string{part});
    return flow::ready;
}

void transfer_runner::on_written(transfer_id transfer, std::size_t size)
{
    const auto found = m_transfers.find(transfer);
    if (found == m_transfers.end()) {
        return;
    }
    auto& item = found->second;
    item.m_unwritten_bytes -= size;
    if (item.m_is_paused && item.m_unwritten_bytes < max_unwritten_bytes / 2) {
        item.m_is_paused = false;
        m_client.resume(transfer);
    }
}

} // namespace chivevane
