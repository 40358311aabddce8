#include "libhttp/http_client.h"

#include "libbase/clock.h"
#include "libhttp/curl_transfer.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>
#include <unordered_map>
#include <vector>

namespace chivevane {

namespace {

constexpr duration stall_check_interval = 250ms;

constexpr long max_idle_connections = 512;

} // namespace

class http_client::implementation {
public:
    explicit implementation(asio::io_context& loop)
        : m_loop(loop), m_multi(curl_multi_init()), m_timer(loop), m_stall_timer(loop)
    {
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &implementation::on_socket);
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, static_cast<void*>(this));
        curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &implementation::on_timer);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, static_cast<void*>(this));
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, max_idle_connections);
    }

    ~implementation()
    {
        for (const auto& [id, transfer] : m_transfers) {
            curl_multi_remove_handle(m_multi, transfer->m_easy.get());
        }
        m_transfers.clear();
        curl_multi_cleanup(m_multi);
        for (auto& [descriptor, watched] : m_sockets) {
            watched->m_socket.release();
        }
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    void start(std::uint64_t id, outgoing_request request, transfer_handlers handlers)
    {
        auto transfer = make_curl_transfer(id, std::move(request), std::move(handlers));
        auto* const easy = transfer->m_easy.get();
        m_transfers.emplace(id, std::move(transfer));
        curl_multi_add_handle(m_multi, easy);
        schedule_stall_check();
    }

    void cancel(std::uint64_t id)
    {
        auto node = m_transfers.extract(id);
        if (!node.empty()) {
            curl_multi_remove_handle(m_multi, node.mapped()->m_easy.get());
        }
    }

    std::uint64_t make_transfer_id() { return ++m_last_transfer_id; }

    void resume(std::uint64_t id)
    {
        asio::post(m_loop, [this, id] { resume_now(id); });
    }

private:
    void resume_now(std::uint64_t id)
    {
        const auto found = m_transfers.find(id);
        if (found == m_transfers.end() || !found->second->m_is_paused) {
            return;
        }
        auto& transfer = *found->second;
        transfer.m_is_paused = false;
        transfer.m_last_progress = current_time();
        curl_easy_pause(transfer.m_easy.get(), CURLPAUSE_CONT);
        end_finished_transfers();
    }

    /// A socket that libcurl owns and the Asio loop waits on.
    struct watched_socket {
        asio::ip::tcp::socket m_socket;
        int m_poll_events = 0; ///< The CURL_POLL_ events that libcurl asked for.
        bool m_is_reading = false;
        bool m_is_writing = false;
    };

    static int on_socket(CURL*, curl_socket_t descriptor, int poll_events, void* user, void*)
    {
        static_cast<implementation*>(user)->watch(descriptor, poll_events);
        return 0;
    }

    static int on_timer(CURLM*, long timeout_ms, void* user)
    {
        static_cast<implementation*>(user)->set_timer(timeout_ms);
        return 0;
    }

    void watch(curl_socket_t descriptor, int poll_events)
    {
        const auto found = m_sockets.find(descriptor);
        if (poll_events == CURL_POLL_REMOVE) {
            if (found != m_sockets.end()) {
                // libcurl closes the descriptor itself.
                found->second->m_poll_events = 0;
                found->second->m_socket.release();
                m_sockets.erase(found);
            }
            return;
        }
        auto& watched = found != m_sockets.end() ? found->second : add_socket(descriptor);
        watched->m_poll_events = poll_events;
        wait_for_readiness(descriptor, watched);
    }

    std::shared_ptr<watched_socket>& add_socket(curl_socket_t descriptor)
    {
        auto watched =
            std::make_shared<watched_socket>(watched_socket{asio::ip::tcp::socket{m_loop}});
        watched->m_socket.assign(asio::ip::tcp::v4(), descriptor);
        return m_sockets[descriptor] = std::move(watched);
    }

    void wait_for_readiness(curl_socket_t descriptor,
                            const std::shared_ptr<watched_socket>& watched)
    {
        if ((watched->m_poll_events & CURL_POLL_IN) != 0 && !watched->m_is_reading) {
            watched->m_is_reading = true;
            watched->m_socket.async_wait(
                asio::ip::tcp::socket::wait_read, [this, descriptor, watched](const auto& problem) {
                    watched->m_is_reading = false;
                    on_socket_ready(descriptor, watched, CURL_CSELECT_IN, problem);
                });
        }
        if ((watched->m_poll_events & CURL_POLL_OUT) != 0 && !watched->m_is_writing) {
            watched->m_is_writing = true;
            watched->m_socket.async_wait(asio::ip::tcp::socket::wait_write,
                                         [this, descriptor, watched](const auto& problem) {
                                             watched->m_is_writing = false;
                                             on_socket_ready(descriptor, watched, CURL_CSELECT_OUT,
                                                             problem);
                                         });
        }
    }

    void on_socket_ready(curl_socket_t descriptor, const std::shared_ptr<watched_socket>& watched,
                         int ready, const asio::error_code& problem)
    {
        const auto found = m_sockets.find(descriptor);
        const bool is_current = found != m_sockets.end() && found->second == watched;
        if (problem || !is_current) {
            return;
        }
        int running = 0;
        if ((watched->m_poll_events & (ready == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT)) !=
            0) {
            curl_multi_socket_action(m_multi, descriptor, ready, &running);
        }
        end_finished_transfers();
        const auto again = m_sockets.find(descriptor);
        if (again != m_sockets.end() && again->second == watched) {
            wait_for_readiness(descriptor, watched);
        }
    }

    void set_timer(long timeout_ms)
    {
        if (timeout_ms < 0) {
            m_timer.cancel();
            return;
        }
        m_timer.expires_after(std::chrono::milliseconds{timeout_ms});
        m_timer.async_wait([this](const asio::error_code& problem) {
            if (!problem) {
                int running = 0;
                curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
                end_finished_transfers();
            }
        });
    }

    void end_finished_transfers()
    {
        int left = 0;
        while (const auto* message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            const auto code = message->data.result;
            const auto& transfer = transfer_of(message->easy_handle);
            end(transfer.m_id, end_of(transfer, code), curl_easy_strerror(code));
        }
    }

    void end(std::uint64_t id, transfer_end kind, std::string detail)
    {
        auto node = m_transfers.extract(id);
        curl_multi_remove_handle(m_multi, node.mapped()->m_easy.get());
        node.mapped()->m_handlers.m_on_end(kind, std::move(detail));
    }

    void schedule_stall_check()
    {
        if (m_is_checking_stalls) {
            return;
        }
        m_is_checking_stalls = true;
        m_stall_timer.expires_after(stall_check_interval);
        m_stall_timer.async_wait([this](const asio::error_code& problem) {
            m_is_checking_stalls = false;
            if (!problem) {
                end_stalled_transfers();
            }
        });
    }

    void end_stalled_transfers()
    {
        const auto now = current_time();
        std::vector<std::uint64_t> stalled;
        for (const auto& [id, transfer] : m_transfers) {
            const bool is_waiting = transfer->m_has_head && !transfer->m_is_paused;
            if (is_waiting &&
                now - transfer->m_last_progress > transfer->m_request.m_stall_timeout) {
                stalled.push_back(id);
            }
        }
        for (const auto id : stalled) {
            end(id, transfer_end::stalled, "no body bytes arrived within the stall timeout");
        }
        if (!m_transfers.empty()) {
            schedule_stall_check();
        }
    }

    asio::io_context& m_loop;
    std::uint64_t m_last_transfer_id = std::uint64_t{1} << 63;
    CURLM* m_multi;
    asio::steady_timer m_timer;
    asio::steady_timer m_stall_timer;
    bool m_is_checking_stalls = false;
    std::unordered_map<std::uint64_t, std::unique_ptr<curl_transfer>> m_transfers;
    std::unordered_map<curl_socket_t, std::shared_ptr<watched_socket>> m_sockets;
};

http_client::http_client(asio::io_context& loop)
    : m_implementation(std::make_unique<implementation>(loop))
{
}

http_client::~http_client() = default;

std::uint64_t http_client::make_transfer_id()
{
    return m_implementation->make_transfer_id();
}

void http_client::start(std::uint64_t transfer, outgoing_request request,
                        transfer_handlers handlers)
{
    m_implementation->start(transfer, std::move(request), std::move(handlers));
}

void http_client::cancel(std::uint64_t transfer)
{
    m_implementation->cancel(transfer);
}

void http_client::resume(std::uint64_t transfer)
{
    m_implementation->resume(transfer);
}

} // namespace chivevane
