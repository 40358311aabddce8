#include "libhttp/traffic_connection.h"

#include "libbase/clock.h"
#include "libhttp/traffic_server.h"

#include <algorithm>
#include <asio/write.hpp>
#include <fmt/format.h>
#include <utility>
#include <vector>

namespace chivevane {

namespace {

/// The connection goes on reading while a request runs, up to this many unparsed bytes, so that it
/// notices when the caller disconnects.
constexpr std::size_t max_buffered_input = 256 * 1024;

bool is_safe_method(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

} // namespace

traffic_connection::traffic_connection(asio::ip::tcp::socket socket,
                                       const traffic_connection_context& context)
    : m_socket(std::move(socket)),
      m_context(context),
      m_timer(m_socket.get_executor()),
      m_parser(context.m_options.m_limits)
{
}

void traffic_connection::start()
{
    set_timer();
    read();
}

void traffic_connection::read()
{
    if (m_is_reading || m_is_closed || m_has_read_end || m_input.size() > max_buffered_input) {
        return;
    }
    m_is_reading = true;
    m_socket.async_read_some(
        asio::buffer(m_buffer),
        [self = shared_from_this()](const asio::error_code& problem, std::size_t size) {
            self->m_is_reading = false;
            if (self->m_is_closed) {
                return;
            }
            if (problem) {
                self->on_read_end();
                return;
            }
            self->on_read(size);
        });
}

void traffic_connection::on_read(std::size_t size)
{
    if (m_has_stopped_parsing) {
        m_input.clear(); // Bytes after the last accepted request belong to no request.
    }
    else {
        m_input.append(m_buffer.data(), size);
        process_input();
    }
    read();
}

/// Handles the peer's close and read errors alike: nobody reads the pending answers any more.
void traffic_connection::on_read_end()
{
    m_has_read_end = true;
    close_now();
}

void traffic_connection::process_input()
{
    while (!m_is_closed && !m_has_stopped_parsing) {
        if (m_parser.state() != parse_state::complete) {
            if (m_input.empty()) {
                break;
            }
            if (!std::exchange(m_is_receiving_request, true)) {
                m_request_began_at = current_time();
            }
            m_parser.consume(m_input);
            m_body += m_parser.take_body();
        }
        if (m_parser.state() == parse_state::failed) {
            refuse(m_parser.failure());
            break;
        }
        if (m_parser.state() != parse_state::complete || !can_dispatch()) {
            break;
        }
        dispatch_request();
    }
    set_timer();
}

bool traffic_connection::can_dispatch() const
{
    if (m_pending_answers.empty()) {
        return true;
    }
    return m_pending_answers.size() < m_context.m_options.m_max_pipelined &&
           m_pending_answers.back().m_use == connection_use::keep &&
           is_safe_method(m_parser.head().m_method);
}

void traffic_connection::dispatch_request()
{
    m_is_receiving_request = false;
    pending_answer answer;
    answer.m_method = m_parser.head().m_method;
    answer.m_use = m_parser.keeps_connection() ? connection_use::keep : connection_use::close;
    m_has_stopped_parsing = answer.m_use == connection_use::close;
    if (m_parser.minor_version() < 1) {
        m_pending_answers.push_back(std::move(answer));
        m_has_stopped_parsing = true;
        m_pending_answers.back().m_use = connection_use::close;
        m_pending_answers.back().m_output.push_back(
            {format_head(response_head{505, {{"Content-Length", "0"}}}, body_framing::none,
                         connection_use::close),
             nullptr});
        m_pending_answers.back().m_is_finished = true;
        write_pending_answers();
        return;
    }
    answer.m_id = m_context.m_open_exchange(*this);
    received_request request{answer.m_id, m_parser.head(),
                             std::make_shared<const std::string>(std::exchange(m_body, {}))};
    m_pending_answers.push_back(std::move(answer));
    m_parser = message_parser<request_head>{m_context.m_options.m_limits};
    m_context.m_on_request(std::move(request));
}

void traffic_connection::refuse(parse_error failure)
{
    switch (failure) {
    case parse_error::head_too_large:
        queue_error_answer(431, "head-too-large", "The request head exceeds the limit.");
        break;
    case parse_error::body_too_large:
        queue_error_answer(413, "body-too-large", "The request body exceeds the limit.");
        break;
    case parse_error::malformed:
    case parse_error::none:
        queue_error_answer(400, "malformed-request", "The request is not valid HTTP/1.1.");
        break;
    }
}

void traffic_connection::refuse_slow_request()
{
    queue_error_answer(408, "request-timeout", "The request did not arrive in time.");
}

/// Queues an error answer to a request that cannot be parsed, after which the connection closes.
void traffic_connection::queue_error_answer(std::uint16_t status, std::string_view problem_type,
                                            std::string_view title)
{
    m_has_stopped_parsing = true;
    m_is_receiving_request = false;
    m_input.clear();
    const auto body = fmt::format(R"({{"type":"urn:chivevane:problem:{}","title":"{}",)"
                                  R"("status":{},"outcome":"not-run"}})"
                                  "\n",
                                  problem_type, title, status);
    const response_head head{status,
                             {{"Content-Type", "application/problem+json"},
                              {"Content-Length", std::to_string(body.size())}}};
    pending_answer answer;
    answer.m_use = connection_use::close;
    answer.m_output.push_back(
        {format_head(head, body_framing::sized, connection_use::close) + body, nullptr});
    answer.m_is_finished = true;
    m_pending_answers.push_back(std::move(answer));
    write_pending_answers();
}

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
    asio::async_write(m_socket, buffers,
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

void traffic_connection::set_timer()
{
    if (m_is_closed || m_has_stopped_parsing) {
        return;
    }
    const auto& options = m_context.m_options;
    auto deadline = current_time() + options.m_idle_timeout;
    if (m_is_receiving_request && m_parser.state() == parse_state::in_head) {
        deadline = m_request_began_at + options.m_head_timeout;
    }
    const auto epoch = ++m_timer_epoch;
    m_timer.expires_at(deadline);
    m_timer.async_wait([self = shared_from_this(), epoch](const asio::error_code& problem) {
        if (!problem && epoch == self->m_timer_epoch) {
            self->on_timer();
        }
    });
}

void traffic_connection::on_timer()
{
    if (m_is_closed) {
        return;
    }
    const bool is_incomplete =
        m_is_receiving_request &&
        (m_parser.state() == parse_state::in_head || m_parser.state() == parse_state::in_body);
    if (is_incomplete) {
        refuse_slow_request();
    }
    else if (m_pending_answers.empty()) {
        close_gracefully();
    }
    else {
        set_timer(); // A request is in progress, and its own deadline limits it.
    }
}

} // namespace chivevane
