// This file implements how a `traffic_connection` writes its answers.

#include "libbase/clock.h"
#include "libhttp/traffic_connection.h"

#include <algorithm>
#include <asio/completion_condition.hpp>
#include <asio/write.hpp>
#include <utility>
#include <vector>

namespace chivevane {

traffic_connection::pending_answer* traffic_connection::find(std::uint64_t exchange)
{
    const auto found =
        std::find_if(m_pending_answers.begin(), m_pending_answers.end(),
                     [exchange](const pending_answer& answer) { return answer.m_id == exchange; });
    return found == m_pending_answers.end() ? nullptr : &*found;
}

void traffic_connection::respond(std::uint64_t exchange, const response_head& head,
                                 std::string body)
{
    auto sized = head;
    std::erase_if(sized.m_fields, [](const http_field& field) {
        return equal_ignoring_case(field.m_name, "Content-Length");
    });
    sized.m_fields.push_back({"Content-Length", std::to_string(body.size())});
    begin(exchange, sized);
    if (!body.empty()) {
        write(exchange, std::move(body), nullptr);
    }
    finish(exchange);
}

void traffic_connection::begin(std::uint64_t exchange, const response_head& head)
{
    auto* const answer = find(exchange);
    if (answer == nullptr) {
        return;
    }
    if (m_context.m_is_closing) {
        // Pipelined requests that were dispatched after this one still get their answers, so only
        // the last answer closes the connection.
        answer->m_use = answer == &m_pending_answers.back() ? connection_use::close : answer->m_use;
        m_has_stopped_parsing = true;
    }
    if (has_no_body(answer->m_method, head.m_status)) {
        answer->m_framing = body_framing::none;
    }
    else {
        answer->m_framing = content_length_of(head) ? body_framing::sized : body_framing::chunked;
    }
    answer->m_output.push_back({format_head(head, answer->m_framing, answer->m_use), nullptr});
    write_pending_answers();
}

void traffic_connection::write(std::uint64_t exchange, std::string part,
                               std::function<void(bool)> on_written)
{
    auto* const answer = find(exchange);
    if (answer == nullptr) {
        if (on_written) {
            on_written(false);
        }
        return;
    }
    if (answer->m_framing == body_framing::chunked) {
        part = part.empty() ? std::string{} : format_chunk(part);
    }
    else if (answer->m_framing == body_framing::none) {
        part.clear();
    }
    answer->m_output.push_back({std::move(part), std::move(on_written)});
    write_pending_answers();
}

void traffic_connection::finish(std::uint64_t exchange)
{
    auto* const answer = find(exchange);
    if (answer == nullptr) {
        return;
    }
    if (answer->m_framing == body_framing::chunked) {
        answer->m_output.push_back({format_chunk({}), nullptr});
    }
    end_answer(*answer);
}

void traffic_connection::abort(std::uint64_t exchange)
{
    if (auto* const answer = find(exchange)) {
        answer->m_is_aborted = true;
        end_answer(*answer);
    }
}

void traffic_connection::end_answer(pending_answer& answer)
{
    answer.m_is_finished = true;
    m_context.m_on_exchange_end(answer.m_id);
    write_pending_answers();
}

/// Writes the available output of the answers in the order of their requests, and removes answers
/// that are complete.
void traffic_connection::write_pending_answers()
{
    while (!m_is_closed && m_writing.empty() && !m_pending_answers.empty()) {
        if (write_front_answer()) {
            return;
        }
        auto& front = m_pending_answers.front();
        if (!front.m_is_finished) {
            return;
        }
        if (front.m_is_aborted) {
            close_now();
            return;
        }
        const auto use = front.m_use;
        m_pending_answers.pop_front();
        if (use == connection_use::close || (m_has_stopped_parsing && m_pending_answers.empty())) {
            close_gracefully();
            return;
        }
        process_input();
        read();
    }
}

/// Starts writing the output of the first answer. Returns false if there is none.
bool traffic_connection::write_front_answer()
{
    auto& front = m_pending_answers.front();
    if (front.m_output.empty()) {
        return false;
    }
    m_writing = std::exchange(front.m_output, {});
    std::vector<asio::const_buffer> buffers;
    for (const auto& part : m_writing) {
        buffers.emplace_back(asio::buffer(part.m_bytes));
    }
    m_last_output = current_time();
    // The condition is checked after each write to the system, so it observes the peer's progress.
    const auto record_progress = [this](const asio::error_code& problem, std::size_t written) {
        m_last_output = written > 0 ? current_time() : m_last_output;
        return asio::transfer_all()(problem, written);
    };
    asio::async_write(m_socket, buffers, record_progress,
                      [self = shared_from_this()](const asio::error_code& problem, std::size_t) {
                          for (auto& part : std::exchange(self->m_writing, {})) {
                              if (part.m_on_written) {
                                  part.m_on_written(!problem);
                              }
                          }
                          if (problem) {
                              self->close_now();
                              return;
                          }
                          self->write_pending_answers();
                          self->set_timer();
                      });
    return true;
}

std::optional<instant> traffic_connection::waiting_since() const
{
    return m_writing.empty() ? std::nullopt : std::optional{m_last_output};
}

} // namespace chivevane
