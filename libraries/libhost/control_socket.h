#pragma once

#include "libpolicy/membership/membership_events.h"
#include "libwire/datagram.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <string>

namespace chivevane {

/// Counters of the control socket since the process started.
struct control_counters {
    std::uint64_t m_sent = 0;
    std::uint64_t m_sent_bytes = 0;
    std::uint64_t m_received = 0;
    std::uint64_t m_received_bytes = 0;
    std::uint64_t m_dropped_unauthenticated = 0;
    std::uint64_t m_dropped_malformed = 0;
    /// Datagrams that were not sent, because they were too large, the address was invalid or
    /// the system refused them.
    std::uint64_t m_send_failures = 0;
};

/// Sends and receives datagrams on the control port, each signed with the shared secret.
class control_socket {
public:
    control_socket(asio::io_context& loop, const host_address& address, host_identity self,
                   std::string secret, std::function<void(datagram_received)> on_received);

    /// Sends `body` to the control port of `to`, stamped with `sent_at`. Failures are only counted,
    /// and the loss of a datagram on the way is not reported.
    void send(const host_address& to, const message& body, hybrid_time sent_at);

    void close();

    const control_counters& counters() const { return m_counters; }

private:
    void receive();
    void handle(std::string_view bytes);

    asio::ip::udp::socket m_socket;
    host_identity m_self;
    std::string m_secret;
    std::function<void(datagram_received)> m_on_received;
    std::uint64_t m_last_sequence = 0;
    control_counters m_counters;
    std::array<char, max_datagram_size + 1> m_buffer{};
    asio::ip::udp::endpoint m_from;
};

} // namespace chivevane
