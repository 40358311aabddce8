#include "libhost/transfer_runner.h"
#include "libhttp/traffic_client.h"
#include "libhttp/traffic_server.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <string>

using namespace chivevane;

namespace {

/// A server for callers that passes each request on to an upstream, with one connection to the
/// upstream that is open already.
struct forwarding_fixture {
    static constexpr const char* ip = "127.0.8.3";
    static constexpr std::uint16_t caller_port = 17620;
    static constexpr std::uint16_t upstream_port = 17621;

    forwarding_fixture()
    {
        m_caller_server.open();
        m_upstream_server.open();
        m_client.start(1, {ip, upstream_port, {"GET", "/first", {}}}, ignore_answer());
        run_until([this] { return m_is_open; });
    }

    transfer_handlers ignore_answer()
    {
        return {[](const response_head&) {}, [](std::string_view) { return body_flow::ready; },
                [this](transfer_end, const std::string&) { m_is_open = true; }};
    }

    static traffic_server_options options(std::uint16_t port)
    {
        traffic_server_options result;
        result.m_ip = ip;
        result.m_port = port;
        return result;
    }

    /// Passes a request on from the loop, as the host process does.
    void forward(const received_request& request)
    {
        m_exchanges[request.m_exchange] = {&m_caller_server, request.m_body};
        asio::post(m_loop, [this, exchange = request.m_exchange] {
            start_transfer command{exchange, exchange, ip, upstream_port, {"GET", "/second", {}}};
            command.m_connect_timeout = 5s;
            m_runner.start(command);
        });
    }

    void run_until(const std::function<bool()>& condition)
    {
        for (int round = 0; round < 100 && !condition(); ++round) {
            m_loop.restart();
            m_loop.run_for(std::chrono::milliseconds{10});
        }
    }

    asio::io_context m_loop{1};
    std::uint64_t m_last_exchange = 0;
    std::size_t m_upstream_requests = 0;
    std::size_t m_disconnects = 0;
    bool m_is_open = false; ///< The connection to the upstream is open and idle.
    std::vector<transfer_update> m_updates;
    exchange_table m_exchanges;
    traffic_client m_client{m_loop};
    transfer_runner m_runner{m_client, m_exchanges, [this](transfer_update update) {
                                 m_updates.push_back(std::move(update));
                             }};
    traffic_server m_caller_server{m_loop,
                                   options(caller_port),
                                   {[this](const received_request& request) { forward(request); },
                                    [this](std::uint64_t) { ++m_disconnects; }},
                                   m_last_exchange};
    traffic_server m_upstream_server{
        m_loop,
        options(upstream_port),
        {[this](const received_request& request) {
             ++m_upstream_requests;
             m_upstream_server.respond(request.m_exchange, {200, {}}, "answer");
         },
         [](std::uint64_t) {}},
        m_last_exchange};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(abandoned_requests, forwarding_fixture)

BOOST_AUTO_TEST_CASE(a_request_that_is_read_after_its_caller_left_is_not_sent_on)
{
    BOOST_TEST_REQUIRE(m_is_open);
    asio::ip::tcp::socket caller{m_loop};
    caller.connect({asio::ip::make_address(ip), caller_port});
    asio::write(caller, asio::buffer(std::string{"GET /second HTTP/1.1\r\nHost: a\r\n\r\n"}));
    caller.close(); // The server has not run since the connection was made.
    run_until([this] { return m_disconnects > 0; });
    run_until([this] { return m_upstream_requests > 1; });
    BOOST_TEST(m_disconnects == 1U);
    BOOST_TEST(m_upstream_requests == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_whose_caller_waits_is_sent_on)
{
    asio::ip::tcp::socket caller{m_loop};
    caller.connect({asio::ip::make_address(ip), caller_port});
    asio::write(caller, asio::buffer(std::string{"GET /second HTTP/1.1\r\nHost: a\r\n\r\n"}));
    run_until([this] { return m_upstream_requests > 1; });
    BOOST_TEST(m_upstream_requests == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
