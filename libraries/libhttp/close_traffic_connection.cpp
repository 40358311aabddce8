// This file implements how a `traffic_connection` is closed.

#include "libhttp/traffic_connection.h"

#include <asio/post.hpp>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace chivevane {

namespace {

/// The time that the peer has to read the last answer before the socket is closed.
constexpr duration linger_timeout = 1s;

} // namespace

void traffic_connection::close_now()
{
    if (std::exchange(m_is_closed, true)) {
        return;
    }
    const auto self = shared_from_this();
    ++m_timer_epoch;
    m_timer.cancel();
    m_pause_timer.cancel();
    release_request();
    asio::error_code ignored; // The connection is abandoned even if closing it fails.
    m_socket.close(ignored);
    auto answers = std::exchange(m_pending_answers, {});
    for (auto& answer : answers) {
        for (auto& part : answer.m_output) {
            if (part.m_on_written) {
                part.m_on_written(false);
            }
        }
        if (answer.m_id != 0 && !answer.m_is_finished) {
            m_context.m_on_exchange_end(answer.m_id);
            m_context.m_on_disconnect(answer.m_id);
        }
    }
    m_context.m_on_closed(*this);
}

void traffic_connection::close_soon()
{
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->close_now(); });
}

void traffic_connection::close_if_idle()
{
    if (is_idle()) {
        close_gracefully();
    }
}

bool traffic_connection::close_if_left()
{
    char next = 0;
    const auto size = ::recv(m_socket.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool is_waiting = size < 0 && (errno == EAGAIN || errno == EINTR);
    if ((size <= 0 && !is_waiting) || (m_is_paused && has_peer_closed())) {
        close_now();
    }
    return m_is_closed;
}

bool traffic_connection::is_idle() const
{
    return m_pending_answers.empty() && m_writing.empty() && m_input.empty() &&
           !m_is_receiving_request;
}

connection_activity traffic_connection::activity() const
{
    if (!m_writing.empty()) {
        return {connection_phase::unread, m_last_output};
    }
    if (!m_pending_answers.empty()) {
        return {connection_phase::busy, m_last_output};
    }
    if (m_has_stopped_parsing) {
        return {connection_phase::ending, m_last_input};
    }
    return {is_idle() ? connection_phase::idle : connection_phase::receiving, last_input()};
}

/// Shuts down the sending direction and drains the input before the socket is closed. Closing a
/// socket with unread input sends a reset, which may discard the answer before the peer reads it.
void traffic_connection::close_gracefully()
{
    if (m_is_closed) {
        return;
    }
    m_has_stopped_parsing = true;
    for (const auto& answer : m_pending_answers) {
        if (answer.m_id != 0 && !answer.m_is_finished) {
            m_context.m_on_exchange_end(answer.m_id);
            m_context.m_on_disconnect(answer.m_id);
        }
    }
    m_pending_answers.clear();
    release_request();
    asio::error_code ignored; // The peer may have closed the connection already.
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

} // namespace chivevane
