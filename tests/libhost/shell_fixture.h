#pragma once

#include "libhttp/http_client.h"
#include "libhttp/http_server.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>

namespace chivevane::test {

/// Two servers and a client on one loop: `m_front` for callers and `m_back` as an upstream.
struct shell_fixture {
    static constexpr const char* ip = "127.0.8.2";
    static constexpr std::uint16_t front_port = 17600;
    static constexpr std::uint16_t back_port = 17601;

    shell_fixture();
    ~shell_fixture();

    /// Runs the loop until `condition` holds; false if it does not within a generous bound.
    bool run_until(const std::function<bool()>& condition);

    asio::io_context m_loop{1};
    std::uint64_t m_last_exchange = 0;
    std::function<void(const received_request&)> m_serve_front;
    std::function<void(const received_request&)> m_serve_back;
    http_client m_client{m_loop};
    http_server m_front;
    http_server m_back;
};

} // namespace chivevane::test
