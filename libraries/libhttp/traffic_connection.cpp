#include "libhttp/traffic_connection.h"

#include "libbase/clock.h"
#include "libhttp/traffic_server.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <utility>
#include <vector>

namespace chivevane {

namespace {

/// A complete body with the memory reserved for it.
struct held_body {
    std::string m_bytes;
    memory_reservation m_reservation;
};

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
      m_parser(context.m_options.m_limits),
      m_input_memory(context.m_options.m_memory),
      m_body_memory(context.m_options.m_memory),
      m_pause_timer(m_socket.get_executor()),
      m_last_input(current_time()),
      m_last_output(m_last_input)
{
}

void traffic_connection::start()
{
    asio::error_code ignored; // A later read reports that the socket cannot be used.
    m_socket.non_blocking(true, ignored);
    set_timer();
    read();
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
        }
        if (m_parser.state() == parse_state::failed) {
            refuse(m_parser.failure());
            break;
        }
        if (!store_body()) {
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
    return m_context.m_may_pipeline() &&
           m_pending_answers.size() < m_context.m_options.m_max_pipelined &&
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
    // The reservation lasts as long as the body, whose last owner may be a transfer.
    const auto body =
        std::make_shared<held_body>(held_body{std::exchange(m_body, {}), std::move(m_body_memory)});
    received_request request{answer.m_id, m_parser.take_head(), {body, &body->m_bytes}};
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
                                            std::string_view title,
                                            std::vector<http_field> more_fields)
{
    m_has_stopped_parsing = true;
    m_is_receiving_request = false;
    release_request();
    const auto body = fmt::format(R"({{"type":"urn:chivevane:problem:{}","title":"{}",)"
                                  R"("status":{},"outcome":"not-run"}})"
                                  "\n",
                                  problem_type, title, status);
    response_head head{status,
                       {{"Content-Type", "application/problem+json"},
                        {"Content-Length", std::to_string(body.size())}}};
    std::move(more_fields.begin(), more_fields.end(), std::back_inserter(head.m_fields));
    pending_answer answer;
    answer.m_use = connection_use::close;
    answer.m_output.push_back(
        {format_head(head, body_framing::sized, connection_use::close) + body, nullptr});
    answer.m_is_finished = true;
    m_pending_answers.push_back(std::move(answer));
    write_pending_answers();
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
