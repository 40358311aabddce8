#include "libhttp/curl_transfer.h"

#include "libbase/clock.h"
#include "libhttp/tcp_options.h"
#include "libwire/status_code.h"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <fmt/format.h>
#include <string>
#include <string_view>

namespace chivevane {

namespace {

/// libcurl doesn't reuse connections that were idle for longer. The limit is well below the
/// server's idle timeout of 75 s, so that a request is seldom sent on a connection that the server
/// is closing.
constexpr long max_idle_connection_age_s = 20;

constexpr std::string_view status_line_start = "HTTP/";

/// Returns the status code of a status line such as `HTTP/1.1 200 OK`, or 0 if it has none.
std::uint16_t parse_status(std::string_view line)
{
    std::uint16_t status = 0;
    if (line.size() >= 12) {
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

/// Receives one line of a head. libcurl passes the lines of interim responses (1xx) as well.
std::size_t on_header_line(const char* data, std::size_t size, std::size_t count, void* user)
{
    auto& transfer = *static_cast<curl_transfer*>(user);
    std::string_view line{data, size * count};
    line = line.substr(0, line.find_last_not_of("\r\n") + 1);
    if (transfer.m_has_head) {
        return size * count; // A trailer field.
    }
    if (line.starts_with(status_line_start)) {
        transfer.m_head = {parse_status(line), {}};
    }
    else if (line.find(':') != std::string_view::npos) {
        transfer.m_head.m_fields.push_back(parse_field(line));
    }
    const auto kind = response_kind_of(transfer.m_head.m_status);
    if (kind == response_kind::invalid) {
        return CURL_WRITEFUNC_ERROR;
    }
    if (line.empty() && kind == response_kind::final) {
        transfer.m_has_head = true;
        transfer.m_last_progress = current_time();
        transfer.m_handlers.m_on_head(transfer.m_head);
    }
    return size * count;
}

std::size_t on_body_part(const char* data, std::size_t size, std::size_t count, void* user)
{
    auto& transfer = *static_cast<curl_transfer*>(user);
    if (transfer.m_handlers.m_on_body({data, size * count}) == body_flow::pause) {
        transfer.m_is_paused = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    transfer.m_last_progress = current_time();
    return size * count;
}

std::size_t read_request_body(char* data, std::size_t size, std::size_t count, void* user)
{
    auto& transfer = *static_cast<curl_transfer*>(user);
    const auto& body = *transfer.m_request.m_body;
    const auto length = std::min(size * count, body.size() - transfer.m_body_bytes_sent);
    body.copy(data, length, transfer.m_body_bytes_sent);
    transfer.m_body_bytes_sent += length;
    return length;
}

/// libcurl sends a request again by itself when a reused connection fails. The server may already
/// have executed the request, so this callback aborts every attempt after the first.
int allow_first_send_only(void* user, char*, char*, int, int)
{
    auto& transfer = *static_cast<curl_transfer*>(user);
    return ++transfer.m_send_count == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

/// Lets the system notice when the connection has gone silent, also while the answer of a watch is
/// awaited for seconds.
int on_socket_opened(void*, curl_socket_t descriptor, curlsocktype)
{
    set_traffic_options(descriptor);
    return CURL_SOCKOPT_OK;
}

/// Builds the list of request fields and suppresses those that libcurl would add by itself.
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
void set_option(const curl_transfer& transfer, CURLoption option, Value value)
{
    [[maybe_unused]] const auto code = curl_easy_setopt(transfer.m_easy.get(), option, value);
    assert(code == CURLE_OK);
}

void set_body_options(curl_transfer& transfer)
{
    const auto& method = transfer.m_request.m_head.m_method;
    const auto size = transfer.m_request.m_body ? transfer.m_request.m_body->size() : 0;
    if (method == "HEAD") {
        set_option(transfer, CURLOPT_NOBODY, 1L);
        return;
    }
    if (size > 0 || method == "POST" || method == "PUT" || method == "PATCH") {
        // No seek function is set, so that libcurl cannot rewind the body and send it again.
        set_option(transfer, CURLOPT_POST, 1L);
        set_option(transfer, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(size));
        set_option(transfer, CURLOPT_READFUNCTION, &read_request_body);
        set_option(transfer, CURLOPT_READDATA, static_cast<void*>(&transfer));
    }
    set_option(transfer, CURLOPT_CUSTOMREQUEST, method.c_str());
}

void set_options(curl_transfer& transfer)
{
    const auto& request = transfer.m_request;
    const bool is_ipv6 = request.m_ip.find(':') != std::string::npos;
    const auto url = is_ipv6 ? fmt::format("http://[{}]:{}/", request.m_ip, request.m_port)
                             : fmt::format("http://{}:{}/", request.m_ip, request.m_port);
    set_option(transfer, CURLOPT_URL, url.c_str());
    set_option(transfer, CURLOPT_REQUEST_TARGET, request.m_head.m_target.c_str());
    set_option(transfer, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    set_option(transfer, CURLOPT_PROXY, "");
    set_option(transfer, CURLOPT_NOSIGNAL, 1L);
    set_option(transfer, CURLOPT_CONNECTTIMEOUT_MS, to_milliseconds(request.m_connect_timeout));
    set_option(transfer, CURLOPT_TIMEOUT_MS, to_milliseconds(request.m_total_timeout));
    set_option(transfer, CURLOPT_FRESH_CONNECT,
               request.m_connection_reuse == connection_reuse::forbidden ? 1L : 0L);
    set_option(transfer, CURLOPT_MAXAGE_CONN, max_idle_connection_age_s);
    set_option(transfer, CURLOPT_SOCKOPTFUNCTION, &on_socket_opened);
    set_option(transfer, CURLOPT_HTTPHEADER, transfer.m_fields.get());
    set_option(transfer, CURLOPT_HEADERFUNCTION, &on_header_line);
    set_option(transfer, CURLOPT_HEADERDATA, static_cast<void*>(&transfer));
    set_option(transfer, CURLOPT_WRITEFUNCTION, &on_body_part);
    set_option(transfer, CURLOPT_WRITEDATA, static_cast<void*>(&transfer));
    set_option(transfer, CURLOPT_PREREQFUNCTION, &allow_first_send_only);
    set_option(transfer, CURLOPT_PREREQDATA, static_cast<void*>(&transfer));
    set_option(transfer, CURLOPT_PRIVATE, static_cast<void*>(&transfer));
    set_body_options(transfer);
}

} // namespace

std::unique_ptr<curl_transfer> make_curl_transfer(std::uint64_t id, outgoing_request request,
                                                  transfer_handlers handlers)
{
    auto transfer = std::make_unique<curl_transfer>();
    transfer->m_id = id;
    transfer->m_request = std::move(request);
    transfer->m_handlers = std::move(handlers);
    transfer->m_easy.reset(curl_easy_init());
    transfer->m_fields = make_field_list(transfer->m_request.m_head);
    set_options(*transfer);
    return transfer;
}

const curl_transfer& transfer_of(CURL* easy)
{
    void* pointer = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &pointer);
    return *static_cast<const curl_transfer*>(pointer);
}

transfer_end end_of(const curl_transfer& transfer, CURLcode code)
{
    if (code == CURLE_OK) {
        return transfer_end::complete;
    }
    if (transfer.m_send_count == 0) {
        return transfer_end::connect_failed;
    }
    return transfer.m_has_head ? transfer_end::truncated : transfer_end::connection_lost;
}

} // namespace chivevane
