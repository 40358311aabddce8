#pragma once

#include "libhttp/http_client.h"
#include "libhttp/loopback_fixture.h"
#include "libhttp/traffic_client.h"
#include "libhttp/traffic_server.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace chivevane::test {

/// A traffic server and both clients on one loop, with a raw TCP listener that stands for an
/// upstream and sends the bytes that a test gives. The server passes each request to `m_serve`.
struct traffic_fixture {
    static constexpr const char* ip = "127.0.8.2";
    static constexpr std::uint16_t port = 17510;
    static constexpr std::uint16_t raw_port = 17511;

    traffic_fixture();

    /// Runs the loop until `condition` holds. Returns false if it does not hold within 30 s.
    bool run_until(const std::function<bool()>& condition);

    /// Starts a request to `to_port` whose answer is read without pauses. Returns the transfer id.
    std::uint64_t start(const request_head& head, const std::string& body, transfer_log& log,
                        std::uint16_t to_port = port,
                        connection_reuse reuse = connection_reuse::allowed);

    /// Sends a request to `to_port` and waits for the end of its transfer.
    transfer_log exchange(const request_head& head, const std::string& body = {},
                          std::uint16_t to_port = port,
                          connection_reuse reuse = connection_reuse::allowed);

    /// Sends raw bytes on a new connection. Returns the bytes received until the server closes it.
    std::string send_raw(const std::string& bytes);

    /// What the raw listener does with a connection after it has sent its bytes.
    enum class raw_end : std::uint8_t { keep, close, reset };

    /// Makes the raw listener answer the first request of each connection with `bytes`.
    void serve_raw(const std::string& bytes, raw_end end);

    asio::io_context m_loop{1};
    std::uint64_t m_last_exchange = 0;
    std::uint64_t m_last_transfer = 0;
    std::vector<received_request> m_requests;
    std::vector<std::uint64_t> m_disconnected_exchanges;
    std::function<void(const received_request&)> m_serve;
    traffic_client m_client{m_loop};
    http_client m_curl_client{m_loop};
    request_sender* m_sender = &m_client; ///< The client that sends the requests.
    traffic_server m_server;
    asio::ip::tcp::acceptor m_raw_acceptor;
    std::size_t m_raw_connections = 0;
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> m_raw_sockets;

private:
    void accept_raw();

    std::string m_raw_bytes;
    raw_end m_raw_end = raw_end::keep;
    std::array<char, 4096> m_raw_buffer{};
};

} // namespace chivevane::test
