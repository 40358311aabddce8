#include "libhost/http_fixture.h"
#include "libhost/transfer_runner.h"

#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace chivevane;
using namespace chivevane::test;

namespace {

constexpr std::size_t part_size = 64 * 1024;
constexpr std::size_t answer_size = 64 * 1024 * 1024;

/// Bytes. This is far more than the socket buffers of two connections and the limit of
/// `transfer_runner` on unwritten bytes together.
constexpr std::size_t bounded_size = 32 * 1024 * 1024;

/// A relay from `m_remote_server`, which sends `answer_size` bytes, to `m_caller_server`.
struct relay_fixture : http_fixture {
    relay_fixture()
    {
        m_on_remote_request = [this](const received_request& request) {
            m_remote_server.begin(request.m_exchange,
                                  {200, {{"Content-Length", std::to_string(answer_size)}}});
            send_part(request.m_exchange);
        };
        m_on_caller_request = [this](const received_request& request) {
            m_exchanges[request.m_exchange] = {&m_caller_server, request.m_body};
            start_transfer command{1, request.m_exchange, ip, remote_port, {"GET", "/", {}}};
            command.m_connect_timeout = 5s;
            command.m_stall_timeout = 50s;
            m_runner.start(command);
        };
    }

    void send_part(std::uint64_t exchange)
    {
        if (m_sent == answer_size) {
            m_remote_server.finish(exchange);
            return;
        }
        m_sent += part_size;
        m_remote_server.write(exchange, std::string(part_size, 'x'),
                              [this, exchange](bool is_written) {
                                  if (is_written) {
                                      send_part(exchange);
                                  }
                              });
    }

    void on_update(const transfer_update& update)
    {
        if (const auto* head = std::get_if<transfer_head>(&update)) {
            const auto exchange = m_exchanges.begin()->first;
            asio::post(m_loop, [this, exchange, answer = head->m_head] {
                m_runner.relay({1, exchange, answer});
            });
        }
        else {
            m_end = std::get<transfer_ended>(update);
        }
    }

    /// Runs the loop until some bytes are sent and then none for 200 ms.
    void run_until_blocked()
    {
        std::size_t before = 0;
        do {
            before = m_sent;
            m_loop.run_for(std::chrono::milliseconds{200});
        } while (m_sent != before || m_sent == 0);
    }

    exchange_table m_exchanges;
    std::size_t m_sent = 0;
    std::optional<transfer_ended> m_end;
    transfer_runner m_runner{m_client, m_exchanges,
                             [this](const transfer_update& update) { on_update(update); }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(transfers, relay_fixture)

BOOST_AUTO_TEST_CASE(a_caller_that_does_not_read_applies_back_pressure_to_the_upstream)
{
    asio::ip::tcp::socket caller{m_loop};
    caller.connect({asio::ip::make_address(ip), caller_port});
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    asio::write(caller, asio::buffer(request));
    run_until_blocked();
    BOOST_TEST(m_sent < bounded_size);

    std::vector<char> buffer(1024 * 1024);
    std::size_t received = 0;
    std::function<void()> read_on = [&] {
        caller.async_read_some(asio::buffer(buffer),
                               [&](const asio::error_code& problem, std::size_t size) {
                                   received += size;
                                   if (!problem) {
                                       read_on();
                                   }
                               });
    };
    read_on();
    BOOST_TEST(run_until([&] { return m_end.has_value() && received > answer_size; }));
    BOOST_TEST((m_end->m_end == transfer_end::complete));
    BOOST_TEST(m_end->m_body_bytes == answer_size);
    caller.close();
}

BOOST_AUTO_TEST_SUITE_END()
