#include "libhttp/traffic_fixture.h"

#include <asio/read.hpp>
#include <asio/write.hpp>
#include <chrono>

namespace chivevane::test {

namespace {

traffic_server_options options()
{
    traffic_server_options chosen;
    chosen.m_ip = traffic_fixture::ip;
    chosen.m_port = traffic_fixture::port;
    chosen.m_limits = {2048, 1000};
    chosen.m_head_timeout = 300ms;
    chosen.m_idle_timeout = 600ms;
    return chosen;
}

} // namespace

traffic_fixture::traffic_fixture()
    : m_server(m_loop, options(),
               {[this](const received_request& request) {
                    m_requests.push_back(request);
                    m_serve(request);
                },
                [this](std::uint64_t exchange) { m_disconnected_exchanges.push_back(exchange); }},
               m_last_exchange),
      m_raw_acceptor(m_loop)
{
    m_serve = [this](const received_request& request) {
        m_server.respond(request.m_exchange, {200, {}}, *request.m_body);
    };
    m_server.open();
    m_raw_acceptor.open(asio::ip::tcp::v4());
    m_raw_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address{true});
    m_raw_acceptor.bind({asio::ip::make_address(ip), raw_port});
    m_raw_acceptor.listen();
    accept_raw();
}

bool traffic_fixture::run_until(const std::function<bool()>& condition)
{
    constexpr auto timeout = std::chrono::seconds{30}; // Only a faulty program takes this long.
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
        m_loop.run_one_for(std::chrono::milliseconds{100});
    }
    return condition();
}

std::uint64_t traffic_fixture::start(const request_head& head, const std::string& body,
                                     transfer_log& log, std::uint16_t to_port,
                                     connection_reuse reuse)
{
    outgoing_request request;
    request.m_ip = ip;
    request.m_port = to_port;
    request.m_head = head;
    request.m_connection_reuse = reuse;
    request.m_stall_timeout = 500ms;
    request.m_body = std::make_shared<const std::string>(body);
    transfer_handlers handlers;
    handlers.m_on_head = [&log](response_head answer) { log.m_head = std::move(answer); };
    handlers.m_on_body = [&log](std::string_view part) {
        log.m_body += part;
        return body_flow::ready;
    };
    handlers.m_on_end = [&log](transfer_end end, const std::string&) { log.m_end = end; };
    m_sender->start(++m_last_transfer, std::move(request), std::move(handlers));
    return m_last_transfer;
}

transfer_log traffic_fixture::exchange(const request_head& head, const std::string& body,
                                       std::uint16_t to_port, connection_reuse reuse)
{
    transfer_log log;
    start(head, body, log, to_port, reuse);
    run_until([&log] { return log.m_end.has_value(); });
    return log;
}

std::string traffic_fixture::send_raw(const std::string& bytes)
{
    asio::ip::tcp::socket socket{m_loop};
    std::string received(65'536, '\0');
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

void traffic_fixture::serve_raw(const std::string& bytes, raw_end end)
{
    m_raw_bytes = bytes;
    m_raw_end = end;
}

void traffic_fixture::accept_raw()
{
    m_raw_acceptor.async_accept(
        [this](const asio::error_code& problem, asio::ip::tcp::socket accepted) {
            if (problem) {
                return;
            }
            ++m_raw_connections;
            auto socket = std::make_shared<asio::ip::tcp::socket>(std::move(accepted));
            m_raw_sockets.push_back(socket);
            socket->async_read_some(
                asio::buffer(m_raw_buffer), [this, socket](const asio::error_code&, std::size_t) {
                    asio::error_code ignored;
                    asio::write(*socket, asio::buffer(m_raw_bytes), ignored);
                    if (m_raw_end == raw_end::reset) {
                        socket->set_option(asio::socket_base::linger{true, 0}, ignored);
                    }
                    if (m_raw_end != raw_end::keep) {
                        socket->close(ignored);
                    }
                });
            accept_raw();
        });
}

} // namespace chivevane::test
