#include "libhttp/message_text.h"

#include <charconv>
#include <fmt/format.h>

namespace chivevane {

namespace {

std::string_view reason_phrase_of(std::uint16_t status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "-";
    }
}

bool anticipates_body(std::string_view method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace

std::optional<std::uint64_t> content_length_of(const response_head& head)
{
    const auto text = find_field(head.m_fields, "Content-Length");
    std::uint64_t length = 0;
    if (!text) {
        return std::nullopt;
    }
    const auto* const end = text->data() + text->size();
    const auto [stop, problem] = std::from_chars(text->data(), end, length);
    return problem == std::errc{} && stop == end ? std::optional{length} : std::nullopt;
}

bool has_no_body(std::string_view method, std::uint16_t status)
{
    return method == "HEAD" || status == 204 || status == 304 || status < 200;
}

std::string format_head(const response_head& head, body_framing framing, connection_use use)
{
    auto text = fmt::format("HTTP/1.1 {} {}\r\n", head.m_status, reason_phrase_of(head.m_status));
    for (const auto& field : head.m_fields) {
        text += field.m_name;
        text += ": ";
        text += field.m_value;
        text += "\r\n";
    }
    if (framing == body_framing::chunked) {
        text += "Transfer-Encoding: chunked\r\n";
    }
    if (use == connection_use::close) {
        text += "Connection: close\r\n";
    }
    text += "\r\n";
    return text;
}

std::string format_chunk(std::string_view part)
{
    return fmt::format("{:x}\r\n{}\r\n", part.size(), part);
}

std::string format_head(const request_head& head, std::size_t body_size)
{
    auto text = fmt::format("{} {} HTTP/1.1\r\n", head.m_method, head.m_target);
    for (const auto& field : head.m_fields) {
        text += field.m_name;
        text += ": ";
        text += field.m_value;
        text += "\r\n";
    }
    if (body_size > 0 || anticipates_body(head.m_method)) {
        fmt::format_to(std::back_inserter(text), "Content-Length: {}\r\n", body_size);
    }
    text += "\r\n";
    return text;
}

} // namespace chivevane
