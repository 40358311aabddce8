#include "libhost/control_socket.h"

#include <asio/buffer.hpp>

namespace chivevane {

control_socket::control_socket(asio::io_context& loop, const host_address& address,
                               host_identity self, std::string secret,
                               std::function<void(datagram_received)> on_received)
    : m_socket(loop, asio::ip::udp::endpoint{asio::ip::make_address(address.m_ip),
                                             address.m_control_port}),
      m_self(std::move(self)),
      m_secret(std::move(secret)),
      m_on_received(std::move(on_received))
{
    m_socket.non_blocking(true);
    receive();
}

void control_socket::send(const host_address& to, const message& body, hybrid_time sent_at)
{
    const auto bytes = encode_datagram({m_self, ++m_last_sequence, sent_at, body}, m_secret);
    asio::error_code problem;
    const auto ip = asio::ip::make_address(to.m_ip, problem);
    if (is_error(bytes) || problem) {
        ++m_counters.m_send_failures;
        return;
    }
    const auto& text = value_of(bytes);
    m_socket.send_to(asio::buffer(text), {ip, to.m_control_port}, 0, problem);
    if (problem) {
        ++m_counters.m_send_failures;
        return;
    }
    ++m_counters.m_sent;
    m_counters.m_sent_bytes += text.size();
}

void control_socket::close()
{
    asio::error_code ignored;
    m_socket.close(ignored);
}

void control_socket::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_from,
                                [this](const asio::error_code& problem, std::size_t size) {
                                    if (problem == asio::error::operation_aborted) {
                                        return;
                                    }
                                    if (!problem) {
                                        handle({m_buffer.data(), size});
                                    }
                                    receive();
                                });
}

void control_socket::handle(std::string_view bytes)
{
    auto packet = decode_datagram(bytes, m_secret);
    if (is_error(packet)) {
        const bool is_unauthenticated = error_of(packet).m_kind == error_kind::unauthenticated;
        ++(is_unauthenticated ? m_counters.m_dropped_unauthenticated
                              : m_counters.m_dropped_malformed);
        return;
    }
    ++m_counters.m_received;
    m_counters.m_received_bytes += bytes.size();
    auto& content = *std::get_if<datagram>(&packet);
    m_on_received({std::move(content.m_sender), content.m_sequence, content.m_sent_at,
                   std::move(content.m_message)});
}

} // namespace chivevane
