#include "libhost/transfer_runner.h"

#include "libbase/clock.h"

#include <algorithm>
#include <utility>

namespace chivevane {

namespace {

/// Reading from the upstream pauses while more bytes than this wait to be written, and resumes when
/// less than half of it waits.
constexpr std::size_t max_unwritten_bytes = 256 * 1024;

/// Memory is reserved in steps of this size, so that not every part changes the reservation.
constexpr std::size_t reservation_step = 64 * 1024;

/// Returns the memory to reserve for `bytes` of an answer.
std::size_t memory_for(std::size_t bytes)
{
    const auto reserved = bytes - std::min(bytes, unreserved_bytes);
    return (reserved + reservation_step - 1) / reservation_step * reservation_step;
}

} // namespace

transfer_runner::transfer_runner(request_sender& client, exchange_table& exchanges,
                                 std::function<void(transfer_update)> on_update,
                                 std::shared_ptr<memory_budget> memory)
    : m_client(client),
      m_exchanges(exchanges),
      m_on_update(std::move(on_update)),
      m_memory(std::move(memory))
{
}

void transfer_runner::start(const start_transfer& command)
{
    const auto id = command.m_transfer;
    const auto exchange = m_exchanges.find(command.m_exchange);
    const bool has_body = command.m_exchange != 0;
    if (has_body && exchange == m_exchanges.end()) {
        // The body was discarded when the caller closed the connection. A request without its body
        // would be a different request, so it is not sent.
        m_transfers[id] = {};
        m_on_update(transfer_ended{id, transfer_end::connect_failed, 0,
                                   "the caller closed the connection"});
        return;
    }
    if (has_body && exchange->second.m_server->close_if_left(command.m_exchange)) {
        m_transfers[id] = {};
        m_on_update(transfer_ended{id, transfer_end::caller_left, 0, "the caller has left"});
        return;
    }
    outgoing_request request;
    request.m_ip = command.m_ip;
    request.m_port = command.m_port;
    request.m_head = command.m_head;
    request.m_connection_reuse = command.m_connection_reuse;
    request.m_connect_timeout = command.m_connect_timeout;
    request.m_stall_timeout = command.m_stall_timeout;
    if (has_body) {
        request.m_body = exchange->second.m_body;
    }
    auto& state = m_transfers[id];
    state.m_buffer_limit = command.m_body_buffer_limit;
    state.m_memory->m_reservation = memory_reservation{m_memory};
    transfer_handlers handlers;
    handlers.m_on_head = [this, id](response_head head) { on_head(id, std::move(head)); };
    handlers.m_on_body = [this, id](std::string_view part) { return on_body(id, part); };
    handlers.m_on_end = [this, id](transfer_end end, std::string detail) {
        on_end(id, end, std::move(detail));
    };
    m_client.start(id, std::move(request), std::move(handlers));
}

void transfer_runner::on_head(transfer_id transfer, response_head head)
{
    const auto found = m_transfers.find(transfer);
    if (found == m_transfers.end()) {
        return;
    }
    found->second.m_buffered_head = std::move(head);
    if (found->second.m_buffer_limit == 0) {
        report_head(transfer, found->second);
    }
}

void transfer_runner::report_head(transfer_id transfer, running_transfer& state)
{
    if (auto head = std::exchange(state.m_buffered_head, std::nullopt)) {
        m_on_update(transfer_head{transfer, std::move(*head)});
    }
}

void transfer_runner::on_end(transfer_id transfer, transfer_end end, std::string detail)
{
    const auto found = m_transfers.find(transfer);
    if (found == m_transfers.end()) {
        return;
    }
    if (end == transfer_end::complete) {
        report_head(transfer, found->second);
    }
    m_on_update(transfer_ended{transfer, end, found->second.m_body_bytes, std::move(detail)});
}

void transfer_runner::cancel(const cancel_transfer& command)
{
    m_client.cancel(command.m_transfer);
    m_transfers.erase(command.m_transfer);
}

void transfer_runner::relay(const relay_transfer& command)
{
    const auto found = m_transfers.find(command.m_transfer);
    const auto exchange = m_exchanges.find(command.m_exchange);
    if (found == m_transfers.end() || exchange == m_exchanges.end()) {
        return;
    }
    found->second.m_relayed_to = command.m_exchange;
    found->second.m_memory->m_reader = exchange->second.m_server->reader_of(command.m_exchange);
    if (command.m_head) {
        exchange->second.m_server->begin(command.m_exchange, *command.m_head);
    }
    if (!found->second.m_buffered_body.empty()) {
        write_part(command.m_transfer, found->second,
                   std::exchange(found->second.m_buffered_body, {}));
    }
    if (found->second.m_is_paused) {
        found->second.m_is_paused = false;
        m_client.resume(command.m_transfer);
    }
}

void transfer_runner::write_part(transfer_id transfer, running_transfer& state, std::string part)
{
    const auto size = part.size();
    state.m_unwritten_bytes += size;
    m_exchanges.at(state.m_relayed_to)
        .m_server->write(state.m_relayed_to, std::move(part),
                         [this, transfer, size, memory = state.m_memory](bool) {
                             release(*memory, size);
                             on_written(transfer, size);
                         });
}

body_flow transfer_runner::on_body(transfer_id transfer, std::string_view part)
{
    const auto found = m_transfers.find(transfer);
    if (found == m_transfers.end()) {
        return body_flow::pause;
    }
    auto& state = found->second;
    if (state.m_buffered_head) {
        return buffer_part(transfer, state, part);
    }
    const auto exchange = m_exchanges.find(state.m_relayed_to);
    // Where nothing waits to be written, a part is accepted without memory, so that the answer
    // always goes on.
    if (exchange == m_exchanges.end() || state.m_unwritten_bytes > max_unwritten_bytes ||
        (!reserve(*state.m_memory, part.size()) && state.m_unwritten_bytes > 0)) {
        state.m_is_paused = true;
        return body_flow::pause;
    }
    state.m_body_bytes += part.size();
    state.m_memory->m_bytes += part.size();
    write_part(transfer, state, std::string{part});
    return body_flow::ready;
}

/// Keeps a part of an answer that is not relayed yet. Without memory the head is reported at once,
/// and the part is accepted when the answer is relayed.
body_flow transfer_runner::buffer_part(transfer_id transfer, running_transfer& state,
                                       std::string_view part)
{
    if (!reserve(*state.m_memory, part.size())) {
        m_memory->record(memory_event::answer_unbuffered);
        report_head(transfer, state);
        state.m_is_paused = true;
        return body_flow::pause;
    }
    state.m_buffered_body += part;
    state.m_memory->m_bytes += part.size();
    state.m_body_bytes += part.size();
    if (state.m_buffered_body.size() > state.m_buffer_limit) {
        report_head(transfer, state);
    }
    return body_flow::ready;
}

/// Reserves memory for `more_bytes` in addition to the bytes that the answer holds. Returns false
/// if there is none.
bool transfer_runner::reserve(answer_memory& memory, std::size_t more_bytes)
{
    const auto needed = memory_for(memory.m_bytes + more_bytes);
    if (needed <= memory.m_reservation.size()) {
        return true;
    }
    if (!memory.m_reservation.resize(needed, current_time())) {
        return false;
    }
    const auto last_progress = [&memory] {
        // An answer that waits for something else than its reader has progress now.
        const auto reader = memory.m_reader.lock();
        const auto since = reader ? reader->waiting_since() : std::nullopt;
        return since.value_or(current_time());
    };
    const auto close_reader = [&memory] {
        memory.m_reservation.reset();
        if (const auto reader = memory.m_reader.lock()) {
            reader->close_soon();
        }
    };
    memory.m_reservation.set_evictable(eviction_kind::unread_answer, last_progress, close_reader);
    return true;
}

/// Releases the memory of `bytes` that the answer no longer holds.
void transfer_runner::release(answer_memory& memory, std::size_t bytes)
{
    memory.m_bytes -= bytes;
    const auto needed = memory_for(memory.m_bytes);
    if (needed == 0) {
        memory.m_reservation.reset();
    }
    else if (needed < memory.m_reservation.size()) {
        memory.m_reservation.resize(needed, current_time());
    }
}

void transfer_runner::on_written(transfer_id transfer, std::size_t size)
{
    const auto found = m_transfers.find(transfer);
    if (found == m_transfers.end()) {
        return;
    }
    auto& state = found->second;
    state.m_unwritten_bytes -= size;
    if (state.m_is_paused && state.m_unwritten_bytes < max_unwritten_bytes / 2) {
        state.m_is_paused = false;
        m_client.resume(transfer);
    }
}

} // namespace chivevane
