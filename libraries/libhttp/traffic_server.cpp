#include "libhttp/traffic_server.h"

#include "libhttp/tcp_options.h"
#include "libhttp/traffic_connection.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace chivevane {

namespace {

constexpr int accept_backlog = 1024;

/// Wait after a failed accept, such as for want of descriptors.
constexpr duration accept_pause = 50ms;

} // namespace

class traffic_server::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& loop, traffic_server_options options,
                   http_server_handlers handlers, std::uint64_t& last_exchange)
        : m_loop(loop),
          m_options(std::move(options)),
          m_handlers(std::move(handlers)),
          m_last_exchange(last_exchange),
          m_acceptor(loop),
          m_accept_timer(loop),
          m_host{m_options,
                 m_is_closing,
                 [this](traffic_connection& connection) { return open_exchange(connection); },
                 [this](received_request request) { m_handlers.m_on_request(std::move(request)); },
                 [this](std::uint64_t exchange) { post_gone(exchange); },
                 [this](std::uint64_t exchange) { m_by_exchange.erase(exchange); },
                 [this](traffic_connection& connection) { forget(connection); }}
    {
    }

    void open()
    {
        const asio::ip::tcp::endpoint address{asio::ip::make_address(m_options.m_ip),
                                              m_options.m_port};
        m_acceptor.open(address.protocol());
        m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address{true});
        m_acceptor.bind(address);
        m_acceptor.listen(accept_backlog);
        accept();
    }

    void close()
    {
        m_is_over = true;
        asio::error_code ignored; // The process goes on without the listener either way.
        m_acceptor.close(ignored);
        m_accept_timer.cancel();
        const std::vector<std::shared_ptr<traffic_connection>> open{m_connections.begin(),
                                                                    m_connections.end()};
        for (const auto& connection : open) {
            connection->close_now();
        }
        m_connections.clear();
    }

    void close_idle_connections()
    {
        const std::vector<std::shared_ptr<traffic_connection>> open{m_connections.begin(),
                                                                    m_connections.end()};
        for (const auto& connection : open) {
            connection->close_if_idle();
        }
    }

    /// The connection of an exchange; null if it is unknown.
    std::shared_ptr<traffic_connection> connection_of(std::uint64_t exchange) const
    {
        const auto found = m_by_exchange.find(exchange);
        return found == m_by_exchange.end() ? nullptr : found->second->shared_from_this();
    }

    asio::io_context& m_loop;
    traffic_server_options m_options;
    http_server_handlers m_handlers;
    std::uint64_t& m_last_exchange;
    bool m_is_closing = false;
    bool m_is_over = false;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_accept_timer;
    std::unordered_set<std::shared_ptr<traffic_connection>> m_connections;
    std::unordered_map<std::uint64_t, traffic_connection*> m_by_exchange;
    traffic_connection_host m_host;

private:
    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](const asio::error_code& problem,
                                                            asio::ip::tcp::socket socket) {
            if (self->m_is_over) {
                return;
            }
            if (problem) {
                self->accept_later();
                return;
            }
            set_traffic_options(socket);
            auto connection = std::make_shared<traffic_connection>(std::move(socket), self->m_host);
            self->m_connections.insert(connection);
            connection->start();
            self->accept();
        });
    }

    void accept_later()
    {
        m_accept_timer.expires_after(accept_pause);
        m_accept_timer.async_wait([self = shared_from_this()](const asio::error_code& problem) {
            if (!problem && !self->m_is_over) {
                self->accept();
            }
        });
    }

    std::uint64_t open_exchange(traffic_connection& connection)
    {
        const auto id = ++m_last_exchange;
        m_by_exchange[id] = &connection;
        return id;
    }

    /// Connections close inside calls that answer exchanges, so the news is posted.
    void post_gone(std::uint64_t exchange)
    {
        asio::post(m_loop, [self = shared_from_this(), exchange] {
            if (!self->m_is_over) {
                self->m_handlers.m_on_gone(exchange);
            }
        });
    }

    void forget(traffic_connection& connection)
    {
        m_connections.erase(connection.shared_from_this());
    }
};

traffic_server::traffic_server(asio::io_context& loop, traffic_server_options options,
                               http_server_handlers handlers, std::uint64_t& last_exchange)
    : m_implementation(std::make_shared<implementation>(loop, std::move(options),
                                                        std::move(handlers), last_exchange))
{
}

traffic_server::~traffic_server()
{
    m_implementation->close();
}

void traffic_server::open()
{
    m_implementation->open();
}

void traffic_server::close()
{
    m_implementation->close();
}

void traffic_server::set_limits(const message_limits& limits, duration head_timeout,
                                duration idle_timeout)
{
    auto& options = m_implementation->m_options;
    options.m_limits = limits;
    options.m_head_timeout = head_timeout;
    options.m_idle_timeout = idle_timeout;
}

void traffic_server::announce_closing()
{
    m_implementation->m_is_closing = true;
}

void traffic_server::close_idle_connections()
{
    m_implementation->close_idle_connections();
}

std::size_t traffic_server::connection_count() const
{
    return m_implementation->m_connections.size();
}

void traffic_server::respond(std::uint64_t exchange, const response_head& head, std::string body)
{
    if (const auto connection = m_implementation->connection_of(exchange)) {
        connection->respond(exchange, head, std::move(body));
    }
}

void traffic_server::begin(std::uint64_t exchange, const response_head& head)
{
    if (const auto connection = m_implementation->connection_of(exchange)) {
        connection->begin(exchange, head);
    }
}

void traffic_server::write(std::uint64_t exchange, std::string part,
                           std::function<void(bool)> on_written)
{
    if (const auto connection = m_implementation->connection_of(exchange)) {
        connection->write(exchange, std::move(part), std::move(on_written));
    }
    else if (on_written) {
        on_written(false);
    }
}

void traffic_server::finish(std::uint64_t exchange)
{
    if (const auto connection = m_implementation->connection_of(exchange)) {
        connection->finish(exchange);
    }
}

void traffic_server::abort(std::uint64_t exchange)
{
    if (const auto connection = m_implementation->connection_of(exchange)) {
        connection->abort(exchange);
    }
}

} // namespace chivevane
