#include "libhttp/loopback_fixture.h"

#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

namespace chivevane::test {

namespace {

http_server_options options()
{
    http_server_options chosen;
    chosen.m_ip = loopback_fixture::ip;
    chosen.m_port = loopback_fixture::port;
    chosen.m_max_body_size = 1000;
    return chosen;
}

} // namespace

loopback_fixture::loopback_fixture()
    : m_server(m_loop, options(),
               {[this](const received_request& request) {
                    m_requests.push_back(request);
                    m_serve(request);
                },
                [this](std::uint64_t exchange) { m_disconnected_exchanges.push_back(exchange); }},
               m_last_exchange)
{
    m_serve = [this](const received_request& request) {
        m_server.respond(request.m_exchange, {200, {}}, *request.m_body);
    };
    m_server.open();
}

loopback_fixture::~loopback_fixture()
{
    m_server.close();
}

bool loopback_fixture::run_until(const std::function<bool()>& condition)
{
    constexpr auto timeout = std::chrono::seconds{60}; // Only a faulty program takes this long.
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
        m_loop.run_one_for(std::chrono::milliseconds{100});
    }
    return condition();
}

std::uint64_t loopback_fixture::start(const request_head& head, const std::string& body,
                                      transfer_log& log)
{
    outgoing_request request;
    request.m_ip = ip;
    request.m_port = port;
    request.m_head = head;
    request.m_stall_timeout = 500ms;
    request.m_body = std::make_shared<const std::string>(body);
    transfer_handlers handlers;
    handlers.m_on_head = [&log](response_head answer) { log.m_head = std::move(answer); };
    handlers.m_on_body = [&log](std::string_view part) {
        log.m_body += part;
        return body_flow::ready;
    };
    handlers.m_on_end = [&log](transfer_end end, const std::string&) { log.m_end = end; };
    const auto id = m_client.make_transfer_id();
    m_client.start(id, std::move(request), std::move(handlers));
    return id;
}

transfer_log loopback_fixture::exchange(const request_head& head, const std::string& body)
{
    transfer_log log;
    start(head, body, log);
    run_until([&log] { return log.m_end.has_value(); });
    return log;
}

std::string loopback_fixture::send_raw(const std::string& bytes, std::size_t wanted)
{
    asio::ip::tcp::socket socket{m_loop};
    std::string received(wanted, '\0');
    std::size_t length = 0;
    bool is_done = false;
    socket.async_connect({asio::ip::make_address(ip), port}, [&](const asio::error_code&) {
        asio::async_write(socket, asio::buffer(bytes), [](const asio::error_code&, std::size_t) {});
        asio::async_read(socket, asio::buffer(received),
                         [&](const asio::error_code&, std::size_t read) {
                             length = read;
                             is_done = true;
                         });
    });
    run_until([&is_done] { return is_done; });
    received.resize(length);
    return received;
}

} // namespace chivevane::test
