#include "libhttp/traffic_client.h"

#include "libbase/clock.h"
#include "libhttp/outgoing_connection.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <fmt/format.h>
#include <unordered_map>
#include <vector>

namespace chivevane {

namespace {

/// The longest idle time of a connection that `connection_reuse::recently_used` accepts. Requests
/// that must not be sent on a connection that the peer is closing are sent with that value.
constexpr duration max_recent_idle_time = 1s;

constexpr std::size_t max_idle_per_address = 32;

/// The time between two searches for idle connections that must not be reused any more.
constexpr duration sweep_interval = 5s;

} // namespace

class traffic_client::implementation : public std::enable_shared_from_this<implementation> {
public:
    explicit implementation(asio::io_context& loop)
        : m_loop(loop),
          m_sweep_timer(loop),
          m_callbacks{[this](outgoing_connection& connection, connection_disposition disposition) {
                          on_transfer_end(connection, disposition);
                      },
                      [this](outgoing_connection& connection) { remove_idle(connection); }}
    {
    }

    void start(std::uint64_t id, outgoing_request request, transfer_handlers handlers)
    {
        ++m_counters.m_requests_sent;
        const auto address = fmt::format("{}:{}", request.m_ip, request.m_port);
        if (auto connection = take_idle(address, request.m_connection_reuse)) {
            m_busy[id] = connection;
            connection->send(id, std::move(request), std::move(handlers));
            return;
        }
        ++m_counters.m_connections_opened;
        auto connection = std::make_shared<outgoing_connection>(m_loop.get_executor(), m_callbacks);
        m_busy[id] = connection;
        connection->open(id, std::move(request), std::move(handlers));
    }

    void cancel(std::uint64_t id)
    {
        if (auto node = m_busy.extract(id); !node.empty()) {
            node.mapped()->close();
        }
    }

    void resume(std::uint64_t id)
    {
        asio::post(m_loop, [self = shared_from_this(), id] {
            const auto found = self->m_busy.find(id);
            if (found != self->m_busy.end()) {
                const auto connection = found->second;
                connection->resume();
            }
        });
    }

    void close_all()
    {
        m_sweep_timer.cancel();
        for (const auto& [id, connection] : m_busy) {
            connection->close();
        }
        for (const auto& [address, connections] : m_idle) {
            for (const auto& connection : connections) {
                connection->close();
            }
        }
        m_busy.clear();
        m_idle.clear();
    }

    traffic_client_counters m_counters;

private:
    /// The idle connections to one address, with the one that has been idle longest first.
    using connection_list = std::vector<std::shared_ptr<outgoing_connection>>;

    /// Removes and returns the most recently used idle connection, or null if it may not be used.
    std::shared_ptr<outgoing_connection> take_idle(const std::string& address,
                                                   connection_reuse reuse)
    {
        const auto found = m_idle.find(address);
        if (reuse == connection_reuse::forbidden || found == m_idle.end() ||
            found->second.empty()) {
            return nullptr;
        }
        const auto& last = found->second.back();
        const auto now = current_time();
        const bool is_recent = now - last->idle_since() < max_recent_idle_time;
        if (now >= last->usable_until() ||
            (reuse == connection_reuse::recently_used && !is_recent)) {
            return nullptr;
        }
        auto connection = last;
        found->second.pop_back();
        return connection;
    }

    void on_transfer_end(outgoing_connection& connection, connection_disposition disposition)
    {
        m_busy.erase(connection.transfer());
        if (disposition == connection_disposition::closed) {
            return;
        }
        auto& idle = m_idle[connection.address()];
        idle.push_back(connection.shared_from_this());
        if (idle.size() > max_idle_per_address) {
            idle.front()->close();
            idle.erase(idle.begin());
        }
        schedule_sweep();
    }

    void remove_idle(outgoing_connection& connection)
    {
        if (const auto found = m_idle.find(connection.address()); found != m_idle.end()) {
            std::erase_if(found->second,
                          [&](const auto& each) { return each.get() == &connection; });
        }
    }

    void schedule_sweep()
    {
        if (m_is_sweeping) {
            return;
        }
        m_is_sweeping = true;
        m_sweep_timer.expires_after(sweep_interval);
        m_sweep_timer.async_wait([self = shared_from_this()](const asio::error_code& cancelled) {
            self->m_is_sweeping = false;
            if (!cancelled) {
                self->sweep();
            }
        });
    }

    void sweep()
    {
        const auto now = current_time();
        for (auto& [address, connections] : m_idle) {
            std::erase_if(connections, [now](const auto& connection) {
                const bool is_expired = now >= connection->usable_until();
                if (is_expired) {
                    connection->close();
                }
                return is_expired;
            });
        }
        std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
        if (!m_idle.empty()) {
            schedule_sweep();
        }
    }

    asio::io_context& m_loop;
    asio::steady_timer m_sweep_timer;
    bool m_is_sweeping = false;
    outgoing_connection_callbacks m_callbacks;
    std::unordered_map<std::uint64_t, std::shared_ptr<outgoing_connection>> m_busy;
    std::unordered_map<std::string, connection_list> m_idle; ///< Keyed by ip:port.
};

traffic_client::traffic_client(asio::io_context& loop)
    : m_implementation(std::make_shared<implementation>(loop))
{
}

traffic_client::~traffic_client()
{
    m_implementation->close_all();
}

void traffic_client::start(std::uint64_t transfer, outgoing_request request,
                           transfer_handlers handlers)
{
    m_implementation->start(transfer, std::move(request), std::move(handlers));
}

void traffic_client::cancel(std::uint64_t transfer)
{
    m_implementation->cancel(transfer);
}

void traffic_client::resume(std::uint64_t transfer)
{
    m_implementation->resume(transfer);
}

const traffic_client_counters& traffic_client::counters() const
{
    return m_implementation->m_counters;
}

} // namespace chivevane
