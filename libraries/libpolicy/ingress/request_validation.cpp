#include "libpolicy/ingress/request_validation.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace chivevane::ingress {

namespace {

constexpr std::size_t max_target_length = 8192; // RFC 9112 section 3 requires at least 8,000.

/// Fields that a request may contain at most once.
constexpr std::array<std::string_view, 6> unique_fields{
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

/// Whether `text` is a token as in RFC 9110 section 5.6.2.
bool is_token(std::string_view text)
{
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [=](unsigned char character) {
        return is_alphanumeric(character) ||
               punctuation.find(static_cast<char>(character)) != punctuation.npos;
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

bool is_valid_target(std::string_view text)
{
    return text.starts_with('/') && text.size() <= max_target_length &&
           std::none_of(text.begin(), text.end(), [](unsigned char character) {
               return is_control(character) || character == ' ' || character == '#';
           });
}

/// Whether `text` holds only characters of a host name or IP address with an optional port (RFC
/// 3986 section 3.2.2).
bool is_valid_host(std::string_view text)
{
    constexpr std::string_view punctuation = "-._~%:[]";
    return !text.empty() && std::all_of(text.begin(), text.end(), [=](unsigned char character) {
        return is_alphanumeric(character) ||
               punctuation.find(static_cast<char>(character)) != punctuation.npos;
    });
}

bool has_unambiguous_body_length(const request_head& head)
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
    const bool has_valid_fields =
        std::all_of(head.m_fields.begin(), head.m_fields.end(), [](const http_field& field) {
            return is_token(field.m_name) && is_field_value(field.m_value);
        });
    const bool has_unique_fields =
        std::all_of(unique_fields.begin(), unique_fields.end(),
                    [&head](std::string_view name) { return count_fields(head, name) <= 1; });
    return is_token(head.m_method) && is_valid_target(head.m_target) && has_valid_fields &&
           has_unique_fields && is_valid_host(find_field(head.m_fields, "Host").value_or("")) &&
           has_unambiguous_body_length(head);
}

} // namespace chivevane::ingress
