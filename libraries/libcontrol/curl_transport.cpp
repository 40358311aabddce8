#include "libcontrol/curl_transport.h"

#include <curl/curl.h>
#include <fmt/format.h>
#include <memory>

namespace chivevane::control {

namespace {

/// One second is ample: the round trip to a host takes a few milliseconds at most.
constexpr long connect_timeout_ms = 1'000;

/// A write is answered only after the store has answered the host.
constexpr long total_timeout_ms = 15'000;

constexpr std::size_t max_response_bytes = 64 * std::size_t{1024} * 1024;

struct curl_deleter {
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using curl_handle = std::unique_ptr<CURL, curl_deleter>;
using curl_fields = std::unique_ptr<curl_slist, curl_deleter>;

std::size_t append_body(const char* data, std::size_t size, std::size_t count, void* target)
{
    auto& body = static_cast<api_response*>(target)->m_body;
    if (body.size() + size * count > max_response_bytes) {
        return 0;
    }
    body.append(data, size * count);
    return size * count;
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    const auto last = text.find_last_not_of(" \t\r\n");
    return first == std::string_view::npos ? std::string_view{}
                                           : text.substr(first, last - first + 1);
}

std::size_t append_field(const char* data, std::size_t size, std::size_t count, void* target)
{
    const std::string_view line{data, size * count};
    auto& fields = static_cast<api_response*>(target)->m_fields;
    if (line.starts_with("HTTP/")) {
        fields.clear();
    }
    else if (const auto colon = line.find(':'); colon != std::string_view::npos) {
        fields.push_back(
            {std::string{line.substr(0, colon)}, std::string{trimmed(line.substr(colon + 1))}});
    }
    return size * count;
}

curl_fields make_header_list(const api_request& request)
{
    // An empty Expect field keeps curl from waiting for "100 Continue" before it sends a large
    // body.
    curl_fields list{curl_slist_append(nullptr, "Expect:")};
    for (const auto& field : request.m_fields) {
        const auto line = fmt::format("{}: {}", field.m_name, field.m_value);
        list.reset(curl_slist_append(list.release(), line.c_str()));
    }
    return list;
}

void configure_handle(CURL* handle, const std::string& url, const api_request& request,
                      curl_slist* fields, api_response& response)
{
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.m_method.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, fields);
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, total_timeout_ms);
    if (!request.m_body.empty()) {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.m_body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.m_body.size()));
    }
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &response);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, append_field);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &response);
}

/// Returns the error for a transfer that curl could not complete. Without a connection the request
/// was certainly not sent; after a connection was made, the host may have executed it.
error transport_error(CURL* handle, CURLcode code, const std::string& host)
{
    curl_off_t connect_time_us = 0;
    curl_easy_getinfo(handle, CURLINFO_CONNECT_TIME_T, &connect_time_us);
    const bool was_connected = connect_time_us > 0;
    return {was_connected ? error_kind::unknown_outcome : error_kind::unavailable,
            fmt::format("{} did not answer: {}.", host, curl_easy_strerror(code)),
            was_connected ? "Read back what is in force before doing it again."
                          : "Check that chivevaned runs there, or name another --host."};
}

result<api_response> send_with_curl(const std::string& host, const api_request& request)
{
    const curl_handle handle{curl_easy_init()};
    const auto fields = make_header_list(request);
    const auto url = fmt::format("http://{}{}", host, request.m_target);
    api_response response;
    configure_handle(handle.get(), url, request, fields.get(), response);
    const auto code = curl_easy_perform(handle.get());
    if (code != CURLE_OK) {
        return transport_error(handle.get(), code, host);
    }
    long status = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    response.m_status = static_cast<std::uint16_t>(status);
    return response;
}

} // namespace

transport make_curl_transport()
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    return send_with_curl;
}

} // namespace chivevane::control
