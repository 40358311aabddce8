#include "libhttp/http_client.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <cassert>
#include <charconv>
#include <curl/curl.h>
#include <fmt/format.h>
#include <optional>
#include <unordered_map>
#include <vector>

namespace chivevane {

namespace {

constexpr duration stall_check_interval = 250ms;

/// Idle connections are closed well before the other side's idle timeout of 75 s, so that a request
/// seldom meets a connection that is being closed.
constexpr long max_idle_connection_age_s = 20;

constexpr long max_idle_connections = 512;

struct curl_list_deleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using curl_list = std::unique_ptr<curl_slist, curl_list_deleter>;

struct easy_deleter {
    void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
using easy_handle = std::unique_ptr<CURL, easy_deleter>;

/// One request under way.
struct transfer {
    std::uint64_t m_id = 0;
    outgoing_request m_request;
    transfer_handlers m_handlers;
    easy_handle m_easy;
    curl_list m_fields;
    std::size_t m_sent = 0;   ///< Bytes of the request body handed to libcurl.
    int m_times_sent = 0;     ///< How often libcurl began to send the request.
    response_head m_head;     ///< Being read.
    bool m_has_head = false;  ///< The final head is complete.
    bool m_is_paused = false; ///< The reader has asked to wait.
    instant m_last_progress;  ///< Last byte of the body, or end of a pause.
};

instant current_time()
{
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

/// Takes the status from `HTTP/1.1 200 OK`; 0 if the line is another.
std::uint16_t parse_status(std::string_view line)
{
    std::uint16_t status = 0;
    if (line.starts_with("HTTP/") && line.size() >= 12) {
        std::from_chars(line.data() + 9, line.data() + 12, status);
    }
    return status;
}

http_field parse_field(std::string_view line)
{
    const auto colon = line.find(':');
    const auto value_start = line.find_first_not_of(" \t", colon + 1);
    const auto value =
        value_start == std::string_view::npos ? std::string_view{} : line.substr(value_start);
    const auto value_end = value.find_last_not_of(" \t");
    return {std::string{line.substr(0, colon)}, std::string{value.substr(0, value_end + 1)}};
}

/// libcurl reports the head line by line, and that of every interim response as well.
std::size_t on_header_line(const char* data, std::size_t size, std::size_t count, void* user)
{
    auto& item = *static_cast<transfer*>(user);
    std::string_view line{data, size * count};
    line = line.substr(0, line.find_last_not_of("\r\n") + 1);
    if (const auto status = parse_status(line); status != 0) {
        item.m_head = {status, {}};
    }
    else if (!line.empty() && !item.m_has_head && line.find(':') != std::string_view::npos) {
        item.m_head.m_fields.push_back(parse_field(line));
    }
    else if (line.empty() && item.m_head.m_status >= 200 && !item.m_has_head) {
        item.m_has_head = true;
        item.m_last_progress = current_time();
        item.m_handlers.m_on_head(item.m_head);
    }
    return size * count;
}

std::size_t on_body_part(const char* data, std::size_t size, std::size_t count, void* user)
{
    auto& item = *static_cast<transfer*>(user);
    if (item.m_handlers.m_on_body({data, size * count}) == flow::pause) {
        item.m_is_paused = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    item.m_last_progress = current_time();
    return size * count;
}

std::size_t read_request_body(char* data, std::size_t size, std::size_t count, void* user)
{
    auto& item = *static_cast<transfer*>(user);
    const auto& body = *item.m_request.m_body;
    const auto length = std::min(size * count, body.size() - item.m_sent);
    body.copy(data, length, item.m_sent);
    item.m_sent += length;
    return length;
}

/// libcurl sends a request again by itself when a reused connection fails. The request may have run
/// by then, so only the first time is allowed.
int allow_first_sending(void* user, char*, char*, int, int)
{
    auto& item = *static_cast<transfer*>(user);
    return ++item.m_times_sent == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

transfer_end end_of(const transfer& item, CURLcode code)
{
    if (code == CURLE_OK) {
        return transfer_end::complete;
    }
    if (item.m_times_sent == 0) {
        return transfer_end::connect_failed;
    }
    return item.m_has_head ? transfer_end::truncated : transfer_end::broken;
}

/// Replaces fields that libcurl would add by itself.
curl_list make_field_list(const request_head& head)
{
    curl_slist* list = nullptr;
    for (const auto& field : head.m_fields) {
        const auto separator = field.m_value.empty() ? ";" : ": ";
        const auto line = field.m_name + separator + field.m_value;
        list = curl_slist_append(list, line.c_str());
    }
    for (const std::string_view name : {"Accept", "User-Agent", "Content-Type", "Expect"}) {
        if (!find_field(head.m_fields, name)) {
            list = curl_slist_append(list, fmt::format("{}:", name).c_str());
        }
    }
    return curl_list{list};
}

template <typename Value>
void set_option(const transfer& item, CURLoption option, Value value)
{
    [[maybe_unused]] const auto code = curl_easy_setopt(item.m_easy.get(), option, value);
    assert(code == CURLE_OK);
}

void set_body_options(transfer& item)
{
    const auto& method = item.m_request.m_head.m_method;
    const auto size = item.m_request.m_body ? item.m_request.m_body->size() : 0;
    if (method == "HEAD") {
        set_option(item, CURLOPT_NOBODY, 1L);
        return;
    }
    if (size > 0 || method == "POST" || method == "PUT" || method == "PATCH") {
        // Without a seek function libcurl cannot rewind the body behind our back.
        set_option(item, CURLOPT_POST, 1L);
        set_option(item, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(size));
        set_option(item, CURLOPT_READFUNCTION, &read_request_body);
        set_option(item, CURLOPT_READDATA, static_cast<void*>(&item));
    }
    set_option(item, CURLOPT_CUSTOMREQUEST, method.c_str());
}

void set_options(transfer& item)
{
    const auto& request = item.m_request;
    const bool is_ipv6 = request.m_ip.find(':') != std::string::npos;
    const auto url = is_ipv6 ? fmt::format("http://[{}]:{}/", request.m_ip, request.m_port)
                             : fmt::format("http://{}:{}/", request.m_ip, request.m_port);
    set_option(item, CURLOPT_URL, url.c_str());
    set_option(item, CURLOPT_REQUEST_TARGET, request.m_head.m_target.c_str());
    set_option(item, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    set_option(item, CURLOPT_PROXY, "");
    set_option(item, CURLOPT_NOSIGNAL, 1L);
    set_option(item, CURLOPT_CONNECTTIMEOUT_MS, to_milliseconds(request.m_connect_timeout));
    set_option(item, CURLOPT_TIMEOUT_MS, to_milliseconds(request.m_total_timeout));
    set_option(item, CURLOPT_FRESH_CONNECT,
               request.m_connection == connection_choice::fresh ? 1L : 0L);
    set_option(item, CURLOPT_MAXAGE_CONN, max_idle_connection_age_s);
    set_option(item, CURLOPT_HTTPHEADER, item.m_fields.get());
    set_option(item, CURLOPT_HEADERFUNCTION, &on_header_line);
    set_option(item, CURLOPT_HEADERDATA, static_cast<void*>(&item));
    set_option(item, CURLOPT_WRITEFUNCTION, &on_body_part);
    set_option(item, CURLOPT_WRITEDATA, static_cast<void*>(&item));
    set_option(item, CURLOPT_PREREQFUNCTION, &allow_first_sending);
    set_option(item, CURLOPT_PREREQDATA, static_cast<void*>(&item));
    set_option(item, CURLOPT_PRIVATE, static_cast<void*>(&item));
    set_body_options(item);
}

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
        auto item = std::make_unique<transfer>();
        item->m_id = id;
        item->m_request = std::move(request);
        item->m_handlers = std::move(handlers);
        item->m_easy.reset(curl_easy_init());
        item->m_fields = make_field_list(item->m_request.m_head);
        set_options(*item);
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
            void* pointer = nullptr;
            curl_easy_getinfo(news->easy_handle, CURLINFO_PRIVATE, &pointer);
            const auto& item = *static_cast<transfer*>(pointer);
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
    std::unordered_map<std::uint64_t, std::unique_ptr<transfer>> m_transfers;
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
