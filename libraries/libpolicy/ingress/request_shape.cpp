#include "libpolicy/ingress/request_shape.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace chivevane::ingress {

namespace {

constexpr std::size_t max_target_length = 8192; // RFC 9112 section 3 asks for 8,000 at least.

/// Fields that a request may have once at most.
constexpr std::array<std::string_view, 6> single_fields{
    "Host",           "Authorization",     "X-Api-Key",
    "Content-Length", "Transfer-Encoding", "X-Request-Timeout-Ms"};

std::ptrdiff_t count_fields(const request_head& head, std::string_view name)
{
    return std::count_if(
        head.m_fields.begin(), head.m_fields.end(),
        [name](const http_field& field) { return equal_ignoring_case(field.m_name, name); });
}

bool is_alphanumeric(unsigned char character)
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z');
}

/// Whether `text` is a token (RFC 9110 section 5.6.2).
bool is_token(std::string_view text)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [=](unsigned char character) {
        return is_alphanumeric(character) || marks.find(static_cast<char>(character)) != marks.npos;
    });
}

bool is_control(unsigned char character)
{
    return character < ' ' || character == 0x7f;
}

bool is_field_value(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](unsigned char character) {
        return is_control(character) && character != '\t';
    });
}

bool is_target(std::string_view text)
{
    return text.starts_with('/') && text.size() <= max_target_length &&
           std::none_of(text.begin(), text.end(), [](unsigned char character) {
               return is_control(character) || character == ' ' || character == '#';
           });
}

/// Whether `text` is a name or IP number with or without a port (RFC 3986 section 3.2.2).
bool is_host(std::string_view text)
{
    constexpr std::string_view marks = "-._~%:[]";
    return !text.empty() && std::all_of(text.begin(), text.end(), [=](unsigned char character) {
        return is_alphanumeric(character) || marks.find(static_cast<char>(character)) != marks.npos;
    });
}

bool has_one_body_length(const request_head& head)
{
    const auto length = find_field(head.m_fields, "Content-Length");
    const auto coding = find_field(head.m_fields, "Transfer-Encoding");
    const bool is_number =
        !length || (!length->empty() && std::all_of(length->begin(), length->end(),
                                                    [](char c) { return c >= '0' && c <= '9'; }));
    return is_number && !(length && coding) && (!coding || equal_ignoring_case(*coding, "chunked"));
}

} // namespace

bool is_well_formed(const request_head& head)
{
    const bool has_sound_fields =
        std::all_of(head.m_fields.begin(), head.m_fields.end(), [](const http_field& field) {
            return is_token(field.m_name) && is_field_value(field.m_value);
        });
    const bool has_single_fields =
        std::all_of(single_fields.begin(), single_fields.end(),
                    [&head](std::string_view name) { return count_fields(head, name) <= 1; });
    return is_token(head.m_method) && is_target(head.m_target) && has_sound_fields &&
           has_single_fields && is_host(find_field(head.m_fields, "Host").value_or("")) &&
           has_one_body_length(head);
}

} // namespace chivevane::ingress
