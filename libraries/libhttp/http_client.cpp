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
        for (const auto& [id, item] : m_transfers) {
            curl_multi_remove_handle(m_multi, item->m_easy.get());
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
        auto item = make_curl_transfer(id, std::move(request), std::move(handlers));
        auto* const easy = item->m_easy.get();
        m_transfers.emplace(id, std::move(item));
        curl_multi_add_handle(m_multi, easy);
        check_stalls_later();
    }

    void cancel(std::uint64_t id)
    {
        auto node = m_transfers.extract(id);
        if (!node.empty()) {
            curl_multi_remove_handle(m_multi, node.mapped()->m_easy.get());
        }
    }

    std::uint64_t make_transfer_id() { return ++m_last_made_id; }

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
        auto& item = *found->second;
        item.m_is_paused = false;
        item.m_last_progress = current_time();
        curl_easy_pause(item.m_easy.get(), CURLPAUSE_CONT);
        collect_finished();
    }

    /// A socket of libcurl's while the loop watches it.
    struct watched_socket {
        asio::ip::tcp::socket m_socket;
        int m_wanted = 0; ///< CURL_POLL_ bits.
        bool m_is_reading = false;
        bool m_is_writing = false;
    };

    static int on_socket(CURL*, curl_socket_t descriptor, int wanted, void* user, void*)
    {
        static_cast<implementation*>(user)->watch(descriptor, wanted);
        return 0;
    }

    static int on_timer(CURLM*, long timeout_ms, void* user)
    {
        static_cast<implementation*>(user)->set_timer(timeout_ms);
        return 0;
    }

    void watch(curl_socket_t descriptor, int wanted)
    {
        const auto found = m_sockets.find(descriptor);
        if (wanted == CURL_POLL_REMOVE) {
            if (found != m_sockets.end()) {
                // libcurl closes the descriptor itself.
                found->second->m_wanted = 0;
                found->second->m_socket.release();
                m_sockets.erase(found);
            }
            return;
        }
        auto& watched = found != m_sockets.end() ? found->second : adopt(descriptor);
        watched->m_wanted = wanted;
        wait(descriptor, watched);
    }

    std::shared_ptr<watched_socket>& adopt(curl_socket_t descriptor)
    {
        auto watched =
            std::make_shared<watched_socket>(watched_socket{asio::ip::tcp::socket{m_loop}});
        watched->m_socket.assign(asio::ip::tcp::v4(), descriptor);
        return m_sockets[descriptor] = std::move(watched);
    }

    void wait(curl_socket_t descriptor, const std::shared_ptr<watched_socket>& watched)
    {
        if ((watched->m_wanted & CURL_POLL_IN) != 0 && !watched->m_is_reading) {
            watched->m_is_reading = true;
            watched->m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                                         [this, descriptor, watched](const auto& problem) {
                                             watched->m_is_reading = false;
                                             act(descriptor, watched, CURL_CSELECT_IN, problem);
                                         });
        }
        if ((watched->m_wanted & CURL_POLL_OUT) != 0 && !watched->m_is_writing) {
            watched->m_is_writing = true;
            watched->m_socket.async_wait(asio::ip::tcp::socket::wait_write,
                                         [this, descriptor, watched](const auto& problem) {
                                             watched->m_is_writing = false;
                                             act(descriptor, watched, CURL_CSELECT_OUT, problem);
                                         });
        }
    }

    void act(curl_socket_t descriptor, const std::shared_ptr<watched_socket>& watched, int ready,
             const asio::error_code& problem)
    {
        const auto found = m_sockets.find(descriptor);
        const bool is_current = found != m_sockets.end() && found->second == watched;
        if (problem || !is_current) {
            return;
        }
        int running = 0;
        if ((watched->m_wanted & (ready == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT)) != 0) {
            curl_multi_socket_action(m_multi, descriptor, ready, &running);
        }
        collect_finished();
        const auto again = m_sockets.find(descriptor);
        if (again != m_sockets.end() && again->second == watched) {
            wait(descriptor, watched);
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
                collect_finished();
            }
        });
    }

    void collect_finished()
    {
        int left = 0;
        while (const auto* news = curl_multi_info_read(m_multi, &left)) {
            if (news->msg != CURLMSG_DONE) {
                continue;
            }
            const auto code = news->data.result;
            const auto& item = transfer_of(news->easy_handle);
            end(item.m_id, end_of(item, code), curl_easy_strerror(code));
        }
    }

    void end(std::uint64_t id, transfer_end kind, std::string detail)
    {
        auto node = m_transfers.extract(id);
        curl_multi_remove_handle(m_multi, node.mapped()->m_easy.get());
        node.mapped()->m_handlers.m_on_end(kind, std::move(detail));
    }

    void check_stalls_later()
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
        for (const auto& [id, item] : m_transfers) {
            const bool is_waiting = item->m_has_head && !item->m_is_paused;
            if (is_waiting && now - item->m_last_progress > item->m_request.m_stall_timeout) {
                stalled.push_back(id);
            }
        }
        for (const auto id : stalled) {
            end(id, transfer_end::stalled, "no byte came for the stall timeout");
        }
        if (!m_transfers.empty()) {
            check_stalls_later();
        }
    }

    asio::io_context& m_loop;
    std::uint64_t m_last_made_id = std::uint64_t{1} << 63;
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
