#include "libhttp/misbehaving_caller_fixture.h"

#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <utility>

namespace chivevane::test {

namespace {

constexpr const char* ip = "127.0.8.2";
constexpr std::uint16_t port = 17512;

traffic_server_options options(std::shared_ptr<memory_budget> memory)
{
    traffic_server_options chosen;
    chosen.m_ip = ip;
    chosen.m_port = port;
    chosen.m_limits = {16'384, misbehaving_caller_fixture::capacity};
    chosen.m_head_timeout = 3s;
    chosen.m_idle_timeout = 3s;
    chosen.m_max_connections = misbehaving_caller_fixture::max_connections;
    chosen.m_memory = std::move(memory);
    return chosen;
}

} // namespace

raw_caller::raw_caller(asio::io_context& loop, const asio::ip::tcp::endpoint& server)
    : m_socket(loop)
{
    m_socket.connect(server);
    read();
}

void raw_caller::send(std::string bytes)
{
    m_output.push_back(std::move(bytes));
    if (m_output.size() == 1) {
        write();
    }
}

void raw_caller::write()
{
    asio::async_write(m_socket, asio::buffer(m_output.front()),
                      [this](const asio::error_code& problem, std::size_t) {
                          if (problem == asio::error::operation_aborted) {
                              return;
                          }
                          m_output.pop_front();
                          if (!problem && !m_output.empty()) {
                              write();
                          }
                      });
}

void raw_caller::read()
{
    m_socket.async_read_some(asio::buffer(m_buffer),
                             [this](const asio::error_code& problem, std::size_t size) {
                                 if (problem == asio::error::operation_aborted) {
                                     return;
                                 }
                                 m_received.append(m_buffer.data(), size);
                                 m_has_ended = bool{problem};
                                 if (!problem) {
                                     read();
                                 }
                             });
}

misbehaving_caller_fixture::misbehaving_caller_fixture()
    : m_server(m_loop, options(m_memory),
               {[this](received_request request) { on_request(std::move(request)); },
                [this](std::uint64_t exchange) { m_disconnected.push_back(exchange); }},
               m_last_exchange)
{
    m_server.open();
}

misbehaving_caller_fixture::~misbehaving_caller_fixture()
{
    m_server.close();
    m_callers.clear();
    m_loop.restart();
    m_loop.poll();
}

void misbehaving_caller_fixture::on_request(received_request request)
{
    ++m_request_count;
    if (m_keeps_requests) {
        m_requests.push_back(std::move(request));
    }
    else {
        m_server.respond(request.m_exchange, {200, {}}, "served");
    }
}

bool misbehaving_caller_fixture::run_until(const std::function<bool()>& condition)
{
    constexpr auto timeout = 30s; // Only a faulty program takes this long.
    const auto deadline = current_time() + timeout;
    while (!condition() && current_time() < deadline) {
        m_loop.run_one_for(std::chrono::milliseconds{50});
    }
    return condition();
}

bool misbehaving_caller_fixture::run_until_reserved(std::size_t bytes)
{
    return run_until([&] { return m_memory->reserved() == bytes; });
}

void misbehaving_caller_fixture::run_for(duration length)
{
    const auto end = current_time() + length;
    while (current_time() < end) {
        m_loop.run_one_for(std::chrono::milliseconds{10});
    }
}

raw_caller& misbehaving_caller_fixture::connect()
{
    auto& caller =
        m_callers.emplace_back(m_loop, asio::ip::tcp::endpoint{asio::ip::make_address(ip), port});
    run_for(5ms);
    return caller;
}

raw_caller& misbehaving_caller_fixture::send(std::string bytes)
{
    auto& caller = connect();
    caller.send(std::move(bytes));
    return caller;
}

void misbehaving_caller_fixture::reserve_everything()
{
    m_fillers.emplace_back(m_memory);
    BOOST_TEST(m_fillers.back().resize(capacity - m_memory->reserved(), current_time()));
    do {
        m_fillers.emplace_back(m_memory);
    } while (m_fillers.back().resize(max_small_holder, current_time()));
    const auto rest = capacity + small_holder_reserve - m_memory->reserved();
    BOOST_TEST(m_fillers.back().resize(rest, current_time()));
}

std::string head_of(std::size_t length)
{
    return fmt::format("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n", length);
}

} // namespace chivevane::test
