#include "libhttp/traffic_server.h"

#include "libbase/clock.h"
#include "libhttp/connection_limit.h"
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

/// The delay before the next attempt after accepting a connection failed, for example because the
/// process ran out of file descriptors.
constexpr duration accept_retry_delay = 50ms;

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
          m_connection_context{
              m_options,
              m_is_closing,
              [this](traffic_connection& connection) { return open_exchange(connection); },
              [this](received_request request) { m_handlers.m_on_request(std::move(request)); },
              [this](std::uint64_t exchange) { post_disconnect(exchange); },
              [this](std::uint64_t exchange) { m_connection_by_exchange.erase(exchange); },
              [this](traffic_connection& connection) { remove_connection(connection); },
              [this] { return may_pipeline(); }}
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
        m_is_closed = true;
        asio::error_code ignored; // The server stops accepting even if closing the socket fails.
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

    /// Returns the connection of an exchange, or null if the exchange is unknown.
    std::shared_ptr<traffic_connection> connection_of(std::uint64_t exchange) const
    {
        const auto found = m_connection_by_exchange.find(exchange);
        return found == m_connection_by_exchange.end() ? nullptr
                                                       : found->second->shared_from_this();
    }

    asio::io_context& m_loop;
    traffic_server_options m_options;
    http_server_handlers m_handlers;
    std::uint64_t& m_last_exchange;
    bool m_is_closing = false;
    bool m_is_closed = false;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_accept_timer;
    std::unordered_set<std::shared_ptr<traffic_connection>> m_connections;
    std::unordered_map<std::uint64_t, traffic_connection*> m_connection_by_exchange;
    traffic_connection_context m_connection_context;

private:
    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](const asio::error_code& problem,
                                                            asio::ip::tcp::socket socket) {
            if (self->m_is_closed) {
                return;
            }
            if (problem) {
                self->schedule_accept_retry();
                return;
            }
            if (self->make_room_for_connection()) {
                self->add_connection(std::move(socket));
            }
            self->accept();
        });
    }

    void add_connection(asio::ip::tcp::socket socket)
    {
        set_traffic_options(socket);
        auto connection =
            std::make_shared<traffic_connection>(std::move(socket), m_connection_context);
        m_connections.insert(connection);
        connection->start();
    }

    /// Closes a connection if the limit is reached. Returns false if none can be closed, so that
    /// the new one must be.
    bool make_room_for_connection()
    {
        if (m_options.m_max_connections == 0 ||
            m_connections.size() < m_options.m_max_connections) {
            return true;
        }
        if (m_options.m_memory) {
            m_options.m_memory->record(memory_event::connection_closed);
        }
        const std::vector<std::shared_ptr<traffic_connection>> open{m_connections.begin(),
                                                                    m_connections.end()};
        std::vector<connection_activity> activities;
        activities.reserve(open.size());
        for (const auto& connection : open) {
            activities.push_back(connection->activity());
        }
        const auto chosen = choose_connection_to_close(activities, current_time());
        if (chosen) {
            open[*chosen]->close_now();
        }
        return chosen.has_value();
    }

    void schedule_accept_retry()
    {
        m_accept_timer.expires_after(accept_retry_delay);
        m_accept_timer.async_wait([self = shared_from_this()](const asio::error_code& problem) {
            if (!problem && !self->m_is_closed) {
                self->accept();
            }
        });
    }

    bool may_pipeline() const
    {
        return m_options.m_max_pipelining_requests == 0 ||
               m_connection_by_exchange.size() < m_options.m_max_pipelining_requests;
    }

    std::uint64_t open_exchange(traffic_connection& connection)
    {
        const auto id = ++m_last_exchange;
        m_connection_by_exchange[id] = &connection;
        return id;
    }

    /// A connection may close inside a call that answers an exchange, so the handler is posted to
    /// the loop.
    void post_disconnect(std::uint64_t exchange)
    {
        asio::post(m_loop, [self = shared_from_this(), exchange] {
            if (!self->m_is_closed) {
                self->m_handlers.m_on_disconnect(exchange);
            }
        });
    }

    void remove_connection(traffic_connection& connection)
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

void traffic_server::announce_connection_close()
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

std::weak_ptr<answer_reader> traffic_server::reader_of(std::uint64_t exchange)
{
    return m_implementation->connection_of(exchange);
}

bool traffic_server::close_if_left(std::uint64_t exchange)
{
    const auto connection = m_implementation->connection_of(exchange);
    return connection && connection->close_if_left();
}

} // namespace chivevane
