#include "libhttp/outgoing_connection.h"

#include "libbase/clock.h"
#include "libhttp/message_text.h"
#include "libhttp/tcp_options.h"
#include "libwire/status_code.h"

#include <algorithm>
#include <asio/write.hpp>
#include <charconv>
#include <fmt/format.h>
#include <utility>

namespace chivevane {

namespace {

constexpr message_limits answer_limits{64 * 1024, 0};

/// Bytes that may wait for the end of a chunk's size or of the trailer. Bytes of the body itself do
/// not wait.
constexpr std::size_t max_unparsed_size = 64 * 1024;

/// An idle connection is not reused within this time before the peer's keep-alive timeout, so that
/// a request is seldom sent on a connection that the peer is closing.
constexpr duration keep_alive_margin = 1s;

/// How long an idle connection may be reused if the peer sent no keep-alive timeout.
constexpr duration default_keep_alive_timeout = 20s;

/// Returns the `timeout` parameter of the Keep-Alive field, or nothing if there is none.
std::optional<std::chrono::seconds> keep_alive_timeout_of(const response_head& head)
{
    constexpr std::string_view parameter = "timeout=";
    const auto value = find_field(head.m_fields, "Keep-Alive").value_or("");
    const auto position = value.find(parameter);
    if (position == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = value.substr(position + parameter.size());
    int seconds = 0;
    const auto [stop, problem] =
        std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return problem == std::errc{} ? std::optional{std::chrono::seconds{seconds}} : std::nullopt;
}

} // namespace

outgoing_connection::outgoing_connection(const asio::any_io_executor& executor,
                                         const outgoing_connection_callbacks& callbacks)
    : m_callbacks(callbacks), m_socket(executor), m_timer(executor)
{
}

void outgoing_connection::prepare_transfer(std::uint64_t transfer, outgoing_request request,
                                           transfer_handlers handlers)
{
    ++m_epoch;
    m_transfer = transfer;
    m_request = std::move(request);
    m_handlers = std::move(handlers);
    m_address = fmt::format("{}:{}", m_request.m_ip, m_request.m_port);
    m_body.clear();
    m_is_paused = false;
    m_has_reported_head = false;
    m_is_request_written = false;
    m_has_written_any = false;
    m_last_progress = current_time();
    start_parsing();
}

/// Expects the head of an answer next.
void outgoing_connection::start_parsing()
{
    m_parser.emplace(answer_limits, m_request.m_head.m_method == "HEAD"
                                        ? body_expectation::never
                                        : body_expectation::by_framing);
}

void outgoing_connection::open(std::uint64_t transfer, outgoing_request request,
                               transfer_handlers handlers)
{
    prepare_transfer(transfer, std::move(request), std::move(handlers));
    asio::error_code problem;
    const auto ip = asio::ip::make_address(m_request.m_ip, problem);
    const auto epoch = m_epoch;
    if (problem) {
        asio::post(m_socket.get_executor(), [self = shared_from_this(), epoch] {
            if (self->m_epoch == epoch) {
                self->fail(transfer_end::connect_failed, "the address is not an IP address");
            }
        });
        return;
    }
    m_timer.expires_after(m_request.m_connect_timeout);
    m_timer.async_wait([self = shared_from_this(), epoch](const asio::error_code& cancelled) {
        if (!cancelled && self->m_epoch == epoch && !self->m_is_open) {
            self->fail(transfer_end::connect_failed, "the connect timeout expired");
        }
    });
    m_socket.async_connect({ip, m_request.m_port},
                           [self = shared_from_this(), epoch](const asio::error_code& failure) {
                               if (self->m_epoch != epoch || self->m_is_closed) {
                                   return;
                               }
                               if (failure) {
                                   self->fail(transfer_end::connect_failed, failure.message());
                                   return;
                               }
                               self->m_is_open = true;
                               set_traffic_options(self->m_socket);
                               self->write_request();
                               self->read();
                           });
}

void outgoing_connection::send(std::uint64_t transfer, outgoing_request request,
                               transfer_handlers handlers)
{
    prepare_transfer(transfer, std::move(request), std::move(handlers));
    write_request();
    read();
}

void outgoing_connection::write_request()
{
    const auto body = m_request.m_body;
    m_head_text = format_head(m_request.m_head, body ? body->size() : 0);
    std::vector<asio::const_buffer> buffers{asio::buffer(m_head_text)};
    if (body && !body->empty()) {
        buffers.emplace_back(asio::buffer(*body));
    }
    const auto epoch = m_epoch;
    start_stall_timer();
    asio::async_write(m_socket, buffers,
                      [self = shared_from_this(), epoch, body](const asio::error_code& problem,
                                                               std::size_t written) {
                          if (self->m_epoch != epoch || self->m_is_closed) {
                              return;
                          }
                          self->m_has_written_any = written > 0;
                          if (problem) {
                              // If the system accepted no byte, the request cannot have been
                              // executed.
                              self->fail(written == 0 ? transfer_end::connect_failed
                                                      : transfer_end::connection_lost,
                                         problem.message());
                              return;
                          }
                          self->m_is_request_written = true;
                          self->finish_if_complete();
                      });
}

void outgoing_connection::read()
{
    if (m_is_reading || m_is_closed || m_is_paused) {
        return;
    }
    m_is_reading = true;
    m_socket.async_read_some(
        asio::buffer(m_buffer),
        [self = shared_from_this()](const asio::error_code& problem, std::size_t size) {
            self->m_is_reading = false;
            if (!self->m_is_closed) {
                self->on_read(problem, size);
            }
        });
}

void outgoing_connection::on_read(const asio::error_code& problem, std::size_t size)
{
    if (m_transfer == 0) {
        // The connection is idle: the peer closed it, or sent bytes that belong to no request.
        const auto self = shared_from_this();
        close();
        m_callbacks.m_on_idle_close(*this);
        return;
    }
    if (problem) {
        on_end_of_stream(problem == asio::error::eof);
        return;
    }
    m_last_progress = current_time();
    m_input.append(m_buffer.data(), size);
    parse_input();
}

void outgoing_connection::parse_input()
{
    const auto epoch = m_epoch;
    m_parser->consume(m_input);
    const bool is_interim = m_parser->state() == parse_state::complete &&
                            response_kind_of(m_parser->head().m_status) == response_kind::interim;
    if (is_interim) {
        start_parsing();
        parse_input();
        return;
    }
    if (!report_head() || m_epoch != epoch || !deliver_body() || m_epoch != epoch) {
        return;
    }
    if (m_parser->state() == parse_state::failed) {
        fail(m_has_reported_head ? transfer_end::truncated : transfer_end::connection_lost,
             "the answer is not valid HTTP/1.1");
        return;
    }
    finish_if_complete();
    if (m_epoch != epoch || m_transfer == 0) {
        return;
    }
    if (m_input.size() > max_unparsed_size) {
        fail(transfer_end::truncated, "the framing of the answer's body does not end");
        return;
    }
    read();
}

/// Reports the head once it is complete. Returns false as long as it has not been reported.
bool outgoing_connection::report_head()
{
    if (m_has_reported_head) {
        return true;
    }
    if (m_parser->state() == parse_state::in_head) {
        read();
        return false;
    }
    if (m_parser->state() == parse_state::failed) {
        fail(transfer_end::connection_lost, "the answer is not valid HTTP/1.1");
        return false;
    }
    if (response_kind_of(m_parser->head().m_status) == response_kind::invalid) {
        fail(transfer_end::connection_lost, "the answer has an invalid status code");
        return false;
    }
    m_has_reported_head = true;
    record_keep_alive_timeout();
    m_handlers.m_on_head(m_parser->head());
    return true;
}

/// Passes the buffered body to the handler. Returns false if the handler asked for a pause.
bool outgoing_connection::deliver_body()
{
    m_body += m_parser->take_body();
    if (m_body.empty()) {
        return true;
    }
    if (m_handlers.m_on_body(m_body) == body_flow::pause) {
        m_is_paused = true;
        return false;
    }
    m_body.clear();
    m_last_progress = current_time();
    return true;
}

void outgoing_connection::resume()
{
    if (!std::exchange(m_is_paused, false) || m_is_closed) {
        return;
    }
    m_last_progress = current_time();
    parse_input();
}

void outgoing_connection::on_end_of_stream(bool is_orderly)
{
    if (is_orderly && m_has_reported_head) {
        m_parser->consume_end_of_stream();
        if (m_parser->state() == parse_state::complete) {
            end(transfer_end::complete, {}, connection_disposition::closed);
            return;
        }
    }
    fail(m_has_reported_head ? transfer_end::truncated : transfer_end::connection_lost,
         is_orderly ? "the connection was closed before the answer was complete"
                    : "the connection was reset");
}

void outgoing_connection::finish_if_complete()
{
    if (m_transfer == 0 || !m_parser || m_parser->state() != parse_state::complete ||
        !m_has_reported_head || !m_body.empty()) {
        return;
    }
    // If the answer arrived before the whole request was written, the rest of the request is still
    // to be sent, so the connection cannot be reused.
    const bool is_reusable =
        m_is_request_written && m_parser->keeps_connection() && m_input.empty();
    end(transfer_end::complete, {},
        is_reusable ? connection_disposition::reusable : connection_disposition::closed);
}

void outgoing_connection::fail(transfer_end end_kind, std::string detail)
{
    end(end_kind, std::move(detail), connection_disposition::closed);
}

void outgoing_connection::end(transfer_end end_kind, std::string detail,
                              connection_disposition disposition)
{
    const auto self = shared_from_this();
    auto handlers = std::exchange(m_handlers, {});
    ++m_epoch;
    m_timer.cancel();
    if (disposition == connection_disposition::closed) {
        close();
    }
    else {
        m_idle_since = current_time();
        const auto usable_for = m_keep_alive_timeout == duration{}
                                    ? default_keep_alive_timeout
                                    : m_keep_alive_timeout - keep_alive_margin;
        m_usable_until = m_idle_since + usable_for;
    }
    m_callbacks.m_on_transfer_end(*this, disposition);
    m_transfer = 0;
    handlers.m_on_end(end_kind, std::move(detail));
    if (disposition == connection_disposition::reusable && m_transfer == 0) {
        read(); // Detects when the peer closes the idle connection.
    }
}

void outgoing_connection::close()
{
    if (std::exchange(m_is_closed, true)) {
        return;
    }
    ++m_epoch;
    m_timer.cancel();
    asio::error_code ignored; // The connection is abandoned even if closing it fails.
    m_socket.close(ignored);
}

void outgoing_connection::start_stall_timer()
{
    if (m_request.m_stall_timeout == duration{}) {
        return;
    }
    const auto epoch = m_epoch;
    m_timer.expires_at(m_last_progress + m_request.m_stall_timeout);
    m_timer.async_wait([self = shared_from_this(), epoch](const asio::error_code& cancelled) {
        if (cancelled || self->m_epoch != epoch) {
            return;
        }
        const bool is_waiting = self->m_has_reported_head && !self->m_is_paused;
        if (is_waiting &&
            current_time() - self->m_last_progress >= self->m_request.m_stall_timeout) {
            self->fail(transfer_end::stalled, "no body bytes arrived within the stall timeout");
            return;
        }
        if (!is_waiting) {
            self->m_last_progress = current_time();
        }
        self->start_stall_timer();
    });
}

void outgoing_connection::record_keep_alive_timeout()
{
    if (const auto timeout = keep_alive_timeout_of(m_parser->head())) {
        m_keep_alive_timeout = *timeout;
    }
}

} // namespace chivevane
