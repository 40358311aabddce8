#pragma once

#include "libhttp/http_client.h"
#include "libhttp/http_server.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace chivevane::test {

/// What the handlers of one transfer received. A field is empty until it is reported.
struct transfer_log {
    std::optional<response_head> m_head;
    std::string m_body;
    std::optional<transfer_end> m_end;
};

/// An `http_server` and an `http_client` on one loop. The server passes each request to `m_serve`,
/// which answers with the request's body unless a test replaces it.
struct loopback_fixture {
    static constexpr const char* ip = "127.0.8.1";
    static constexpr std::uint16_t port = 17500;

    loopback_fixture();
    ~loopback_fixture();

    /// Runs the loop until `condition` holds. Returns false if it does not hold within 60 s.
    bool run_until(const std::function<bool()>& condition);

    /// Starts a request whose answer is read without pauses. Returns the transfer id.
    std::uint64_t start(const request_head& head, const std::string& body, transfer_log& log);

    /// Sends a request and waits for the end of its transfer.
    transfer_log exchange(const request_head& head, const std::string& body = {});

    /// Sends raw bytes on a new connection. Returns the bytes received until the server closes it
    /// or `wanted` bytes have arrived.
    std::string send_raw(const std::string& bytes, std::size_t wanted);

    asio::io_context m_loop{1};
    std::uint64_t m_last_exchange = 0;
    std::vector<received_request> m_requests;
    std::vector<std::uint64_t> m_disconnected_exchanges;
    std::function<void(const received_request&)> m_serve;
    http_client m_client{m_loop};
    http_server m_server;
};

} // namespace chivevane::test
