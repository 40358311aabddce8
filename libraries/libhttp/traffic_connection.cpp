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

/// Unread input beyond what is being parsed: enough to notice that the caller has gone.
constexpr std::size_t max_waiting_input = 256 * 1024;

/// Time for the other side to read the last answer before the connection is cut.
constexpr duration linger_timeout = 1s;

bool is_safe_method(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

} // namespace

traffic_connection::traffic_connection(asio::ip::tcp::socket socket,
                                       const traffic_connection_host& host)
    : m_socket(std::move(socket)),
      m_host(host),
      m_timer(m_socket.get_executor()),
      m_parser(host.m_options.m_limits)
{
}

void traffic_connection::start()
{
    set_timer();
    read();
}

void traffic_connection::close_now()
{
    if (std::exchange(m_is_closed, true)) {
        return;
    }
    const auto self = shared_from_this();
    ++m_timer_epoch;
    m_timer.cancel();
    asio::error_code ignored; // The connection is given up whatever close reports.
    m_socket.close(ignored);
    auto slots = std::exchange(m_slots, {});
    for (auto& slot : slots) {
        for (auto& part : slot.m_output) {
            if (part.m_on_written) {
                part.m_on_written(false);
            }
        }
        if (slot.m_id != 0 && !slot.m_is_finished) {
            m_host.m_on_forgotten(slot.m_id);
            m_host.m_on_gone(slot.m_id);
        }
    }
    m_host.m_on_closed(*this);
}

void traffic_connection::close_if_idle()
{
    if (is_idle()) {
        close_in_order();
    }
}

bool traffic_connection::is_idle() const
{
    return m_slots.empty() && m_writing.empty() && m_input.empty() && !m_is_awaiting_rest;
}

void traffic_connection::read()
{
    if (m_is_reading || m_is_closed || m_has_seen_end || m_input.size() > max_waiting_input) {
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
    if (m_is_ending) {
        m_input.clear(); // What follows a refused request belongs to no request.
    }
    else {
        m_input.append(m_buffer.data(), size);
        process_input();
    }
    read();
}

/// The other side has closed or the connection broke: nobody waits for the answers any more.
void traffic_connection::on_read_end()
{
    m_has_seen_end = true;
    close_now();
}

void traffic_connection::process_input()
{
    while (!m_is_closed && !m_is_ending) {
        if (m_parser.state() != parse_state::complete) {
            if (m_input.empty()) {
                break;
            }
            if (!std::exchange(m_is_awaiting_rest, true)) {
                m_request_began_at = current_time();
            }
            m_parser.consume(m_input);
            m_body += m_parser.take_body();
        }
        if (m_parser.state() == parse_state::failed) {
            refuse(m_parser.fault());
            break;
        }
        if (m_parser.state() != parse_state::complete || !may_hand_on()) {
            break;
        }
        hand_on();
    }
    set_timer();
}

bool traffic_connection::may_hand_on() const
{
    if (m_slots.empty()) {
        return true;
    }
    return m_slots.size() < m_host.m_options.m_max_pipelined &&
           m_slots.back().m_use == connection_use::keep && is_safe_method(m_parser.head().m_method);
}

void traffic_connection::hand_on()
{
    m_is_awaiting_rest = false;
    exchange_slot slot;
    slot.m_method = m_parser.head().m_method;
    slot.m_use = m_parser.keeps_connection() ? connection_use::keep : connection_use::close;
    m_is_ending = slot.m_use == connection_use::close;
    if (m_parser.minor_version() < 1) {
        m_slots.push_back(std::move(slot));
        m_is_ending = true;
        m_slots.back().m_use = connection_use::close;
        m_slots.back().m_output.push_back(
            {format_head(response_head{505, {{"Content-Length", "0"}}}, body_framing::none,
                         connection_use::close),
             nullptr});
        m_slots.back().m_is_finished = true;
        pump();
        return;
    }
    slot.m_id = m_host.m_on_opened_exchange(*this);
    received_request request{slot.m_id, m_parser.head(),
                             std::make_shared<const std::string>(std::exchange(m_body, {}))};
    m_slots.push_back(std::move(slot));
    m_parser = message_parser<request_head>{m_host.m_options.m_limits};
    m_host.m_on_request(std::move(request));
}

void traffic_connection::refuse(parse_fault fault)
{
    switch (fault) {
    case parse_fault::head_too_large:
        add_own_answer(431, "head-too-large", "The request head exceeds the limit.");
        break;
    case parse_fault::body_too_large:
        add_own_answer(413, "body-too-large", "The request body exceeds the limit.");
        break;
    case parse_fault::malformed:
    case parse_fault::none:
        add_own_answer(400, "malformed-request", "The request is not valid HTTP/1.1.");
        break;
    }
}

void traffic_connection::refuse_slow_request()
{
    add_own_answer(408, "request-timeout", "The request did not arrive in time.");
}

/// Answers for a request that cannot be read, and closes the connection after it.
void traffic_connection::add_own_answer(std::uint16_t status, std::string_view problem,
                                        std::string_view title)
{
    m_is_ending = true;
    m_is_awaiting_rest = false;
    m_input.clear();
    const auto body = fmt::format(R"({{"type":"urn:chivevane:problem:{}","title":"{}",)"
                                  R"("status":{},"outcome":"not-run"}})"
                                  "\n",
                                  problem, title, status);
    const response_head head{status,
                             {{"Content-Type", "application/problem+json"},
                              {"Content-Length", std::to_string(body.size())}}};
    exchange_slot slot;
    slot.m_use = connection_use::close;
    slot.m_output.push_back(
        {format_head(head, body_framing::sized, connection_use::close) + body, nullptr});
    slot.m_is_finished = true;
    m_slots.push_back(std::move(slot));
    pump();
}

traffic_connection::exchange_slot* traffic_connection::find(std::uint64_t exchange)
{
    const auto found =
        std::find_if(m_slots.begin(), m_slots.end(),
                     [exchange](const exchange_slot& slot) { return slot.m_id == exchange; });
    return found == m_slots.end() ? nullptr : &*found;
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
    auto* const slot = find(exchange);
    if (slot == nullptr) {
        return;
    }
    if (m_host.m_is_closing) {
        // Requests that were read behind this one still get their answers.
        slot->m_use = slot == &m_slots.back() ? connection_use::close : slot->m_use;
        m_is_ending = true;
    }
    if (has_no_body(slot->m_method, head.m_status)) {
        slot->m_framing = body_framing::none;
    }
    else {
        slot->m_framing = content_length_of(head) ? body_framing::sized : body_framing::chunked;
    }
    slot->m_output.push_back({format_head(head, slot->m_framing, slot->m_use), nullptr});
    pump();
}

void traffic_connection::write(std::uint64_t exchange, std::string part,
                               std::function<void(bool)> on_written)
{
    auto* const slot = find(exchange);
    if (slot == nullptr) {
        if (on_written) {
            on_written(false);
        }
        return;
    }
    if (slot->m_framing == body_framing::chunked) {
        part = part.empty() ? std::string{} : format_chunk(part);
    }
    else if (slot->m_framing == body_framing::none) {
        part.clear();
    }
    slot->m_output.push_back({std::move(part), std::move(on_written)});
    pump();
}

void traffic_connection::finish(std::uint64_t exchange)
{
    auto* const slot = find(exchange);
    if (slot == nullptr) {
        return;
    }
    if (slot->m_framing == body_framing::chunked) {
        slot->m_output.push_back({format_chunk({}), nullptr});
    }
    end_slot(*slot);
}

void traffic_connection::abort(std::uint64_t exchange)
{
    if (auto* const slot = find(exchange)) {
        slot->m_is_aborted = true;
        end_slot(*slot);
    }
}

void traffic_connection::end_slot(exchange_slot& slot)
{
    slot.m_is_finished = true;
    m_host.m_on_forgotten(slot.m_id);
    pump();
}

/// Writes what the first requests' answers have; ends those that are written whole.
void traffic_connection::pump()
{
    while (!m_is_closed && m_writing.empty() && !m_slots.empty()) {
        if (write_front()) {
            return;
        }
        auto& front = m_slots.front();
        if (!front.m_is_finished) {
            return;
        }
        if (front.m_is_aborted) {
            close_now();
            return;
        }
        const auto use = front.m_use;
        m_slots.pop_front();
        if (use == connection_use::close || (m_is_ending && m_slots.empty())) {
            close_in_order();
            return;
        }
        process_input();
        read();
    }
}

/// Starts to write what is there for the first request; false if there is nothing.
bool traffic_connection::write_front()
{
    auto& front = m_slots.front();
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
                          self->pump();
                          self->set_timer();
                      });
    return true;
}

/// Lets the other side read what was written before the connection is closed: unread input would
/// turn the close into a reset that may overtake the answer.
void traffic_connection::close_in_order()
{
    if (m_is_closed) {
        return;
    }
    m_is_ending = true;
    for (const auto& slot : m_slots) {
        if (slot.m_id != 0 && !slot.m_is_finished) {
            m_host.m_on_forgotten(slot.m_id);
            m_host.m_on_gone(slot.m_id);
        }
    }
    m_slots.clear();
    asio::error_code ignored; // The other side may have closed already.
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    drain_then_close();
}

void traffic_connection::drain_then_close()
{
    ++m_timer_epoch;
    m_timer.expires_after(linger_timeout);
    m_timer.async_wait([self = shared_from_this()](const asio::error_code& problem) {
        if (!problem) {
            self->close_now();
        }
    });
    read();
}

void traffic_connection::set_timer()
{
    if (m_is_closed || m_is_ending) {
        return;
    }
    const auto& options = m_host.m_options;
    auto due = current_time() + options.m_idle_timeout;
    if (m_is_awaiting_rest && m_parser.state() == parse_state::in_head) {
        due = m_request_began_at + options.m_head_timeout;
    }
    const auto epoch = ++m_timer_epoch;
    m_timer.expires_at(due);
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
    const bool is_incomplete = m_is_awaiting_rest && (m_parser.state() == parse_state::in_head ||
                                                      m_parser.state() == parse_state::in_body);
    if (is_incomplete) {
        refuse_slow_request();
    }
    else if (m_slots.empty()) {
        close_in_order();
    }
    else {
        set_timer(); // A request is under way; its own deadline ends it.
    }
}

} // namespace chivevane
