// This file implements `host_process::execute` for all effects but `stop_process`, which
// stop_process.cpp implements.

#include "libbase/clock.h"
#include "libhost/document_exchange.h"
#include "libhost/host_process.h"
#include "libhost/log_rate_limit.h"

#include <glog/logging.h>
#include <utility>

namespace chivevane {

void host_process::execute_all(const effect_list& effects)
{
    for (const auto& item : effects) {
        if (m_is_stopped) {
            return;
        }
        std::visit([this](const auto& command) { execute(command); }, item);
    }
}

void host_process::execute(const respond& command)
{
    if (const auto node = m_exchanges.extract(command.m_exchange); !node.empty()) {
        auto& exchange = node.mapped();
        auto head = exchange.m_server == &m_caller_server
                        ? m_hooks.m_write_caller_answer(exchange.m_request, command.m_head)
                        : command.m_head;
        exchange.m_server->respond(command.m_exchange, head, command.m_body);
        count_answer(exchange, head.m_status);
    }
}

void host_process::execute(const start_transfer& command)
{
    if (command.m_peer == transfer_peer::host) {
        m_transfers.start(command);
        return;
    }
    m_upstream_requests[command.m_transfer] = {command.m_peer, command.m_head};
    auto translated = command;
    translated.m_head = m_hooks.m_write_upstream_request(command.m_head);
    m_transfers.start(translated);
}

void host_process::execute(const cancel_transfer& command)
{
    m_upstream_requests.erase(command.m_transfer);
    m_transfers.cancel(command);
}

void host_process::execute(const relay_transfer& command)
{
    const auto exchange = m_exchanges.find(command.m_exchange);
    if (exchange == m_exchanges.end() || !command.m_head) {
        m_transfers.relay(command);
        return;
    }
    auto translated = command;
    if (exchange->second.m_server == &m_caller_server) {
        translated.m_head =
            m_hooks.m_write_caller_answer(exchange->second.m_request, *command.m_head);
    }
    exchange->second.m_status = translated.m_head->m_status;
    m_transfers.relay(translated);
}

void host_process::execute(const finish_exchange& command)
{
    if (const auto node = m_exchanges.extract(command.m_exchange); !node.empty()) {
        node.mapped().m_server->finish(command.m_exchange);
        count_answer(node.mapped(), node.mapped().m_status);
    }
}

void host_process::execute(const abort_exchange& command)
{
    if (const auto node = m_exchanges.extract(command.m_exchange); !node.empty()) {
        node.mapped().m_server->abort(command.m_exchange);
        if (node.mapped().m_server == &m_caller_server) {
            ++m_counters.m_caller_aborts;
        }
    }
}

void host_process::execute(const send_datagram& command)
{
    m_control_socket->send(command.m_to, command.m_message, next_timestamp());
}

void host_process::execute(const call_store& command)
{
    ++m_store_calls;
    m_store(command.m_operation, [this, id = command.m_operation_id,
                                  purpose = command.m_purpose](store_outcome outcome) {
        m_counters.m_store_failures += std::holds_alternative<store_failure>(outcome) ? 1 : 0;
        enqueue(store_response{id, purpose, std::move(outcome)});
    });
}

void host_process::execute(const fetch_document& command)
{
    request_document(m_client, command, m_settings.m_policy.m_shared_secret,
                     [this](document_fetched answer) { enqueue(std::move(answer)); });
}

void host_process::execute(const record_event& command)
{
    timeline_entry entry{next_timestamp(), m_settings.m_policy.m_self.m_name, command.m_name,
                         command.m_fields};
    if (command.m_target == record_target::timeline_and_log &&
        allow_log_line(m_log_rate_limit, current_time(), entry.m_host)) {
        LOG(INFO) << to_log_text(entry);
    }
    append_entry(m_timeline, std::move(entry));
}

} // namespace chivevane
