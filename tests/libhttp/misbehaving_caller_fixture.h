#pragma once

#include "libbase/clock.h"
#include "libhttp/memory_budget.h"
#include "libhttp/traffic_server.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace chivevane::test {

/// A caller that writes raw bytes to its own connection and collects what it receives.
struct raw_caller {
    raw_caller(asio::io_context& loop, const asio::ip::tcp::endpoint& server);

    /// Queues bytes. They are written as far as the server reads them.
    void send(std::string bytes);

    bool has_received(std::string_view text) const
    {
        return m_received.find(text) != std::string::npos;
    }

    asio::ip::tcp::socket m_socket;
    std::deque<std::string> m_output;
    std::array<char, 4096> m_buffer{};
    std::string m_received;
    bool m_has_ended = false;

private:
    void write();
    void read();
};

/// A server with a memory budget and a connection limit. It answers each request with 200, unless a
/// test keeps the requests.
struct misbehaving_caller_fixture {
    static constexpr std::size_t capacity = 1'000'000;
    static constexpr std::size_t max_connections = 4;

    misbehaving_caller_fixture();
    ~misbehaving_caller_fixture();

    /// Runs the loop until `condition` holds. Returns false if it does not hold within 30 s.
    bool run_until(const std::function<bool()>& condition);
    bool run_until_reserved(std::size_t bytes);
    void run_for(duration length);

    raw_caller& connect();

    /// Sends bytes on a new connection.
    raw_caller& send(std::string bytes);

    /// Reserves the capacity and the small-holder reserve, so that nothing is left.
    void reserve_everything();

    asio::io_context m_loop{1};
    std::shared_ptr<memory_budget> m_memory = std::make_shared<memory_budget>(capacity);
    std::uint64_t m_last_exchange = 0;
    std::size_t m_request_count = 0;
    bool m_keeps_requests = false;
    std::vector<received_request> m_requests;
    std::vector<std::uint64_t> m_disconnected;
    std::vector<memory_reservation> m_fillers;
    traffic_server m_server;
    std::list<raw_caller> m_callers;

private:
    void on_request(received_request request);
};

/// Returns the head of a request with a body of `length` bytes.
std::string head_of(std::size_t length);

} // namespace chivevane::test
