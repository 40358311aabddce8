// How a host's process carries out what the reducer decided.

#include "libbase/clock.h"
#include "libhost/document_exchange.h"
#include "libhost/host_process.h"
#include "libhost/log_limit.h"

#include <glog/logging.h>
#include <utility>

namespace chivevane {

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
        auto& held = node.mapped();
        auto head = held.m_server == &m_caller_server
                        ? m_hooks.m_write_caller_answer(held.m_request, order.m_head)
                        : order.m_head;
        held.m_server->respond(order.m_exchange, head, order.m_body);
        count_answer(held, head.m_status);
    }
}

void host_process::carry_out(const start_transfer& order)
{
    if (order.m_peer == transfer_peer::host) {
        m_transfers.start(order);
        return;
    }
    m_upstream_requests[order.m_transfer] = {order.m_peer, order.m_head};
    auto translated = order;
    translated.m_head = m_hooks.m_write_upstream_request(order.m_head);
    m_transfers.start(translated);
}

void host_process::carry_out(const cancel_transfer& order)
{
    m_upstream_requests.erase(order.m_transfer);
    m_transfers.cancel(order);
}

void host_process::carry_out(const relay_transfer& order)
{
    const auto held = m_exchanges.find(order.m_exchange);
    if (held == m_exchanges.end() || !order.m_head) {
        m_transfers.relay(order);
        return;
    }
    auto translated = order;
    if (held->second.m_server == &m_caller_server) {
        translated.m_head = m_hooks.m_write_caller_answer(held->second.m_request, *order.m_head);
    }
    held->second.m_status = translated.m_head->m_status;
    m_transfers.relay(translated);
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
    m_control->send(order.m_to, order.m_message, stamp());
}

void host_process::carry_out(const call_store& order)
{
    ++m_store_calls;
    m_store(order.m_operation, [this, id = order.m_operation_id,
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
    if (order.m_target == record_target::timeline_and_log &&
        take_log_line(m_log_limit, current_time(), entry.m_host)) {
        LOG(INFO) << to_log_text(entry);
    }
    append_entry(m_timeline, std::move(entry));
}

} // namespace chivevane
