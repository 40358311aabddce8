#pragma once

#include "libhttp/http_client.h"
#include "libhttp/http_server.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>

namespace chivevane::test {

/// Two servers and a client on one loop. `m_caller_server` serves callers, and `m_remote_server`
/// plays an upstream or another host.
struct http_fixture {
    static constexpr const char* ip = "127.0.8.2";
    static constexpr std::uint16_t caller_port = 17600;
    static constexpr std::uint16_t remote_port = 17601;

    http_fixture();
    ~http_fixture();

    /// Runs the loop until `condition` holds. Returns false if it does not hold within 60 seconds.
    bool run_until(const std::function<bool()>& condition);

    asio::io_context m_loop{1};
    std::uint64_t m_last_exchange = 0;
    std::function<void(const received_request&)> m_on_caller_request;
    std::function<void(const received_request&)> m_on_remote_request;
    http_client m_client{m_loop};
    http_server m_caller_server;
    http_server m_remote_server;
};

} // namespace chivevane::test
