#include "libadmin/parse_admin_request.h"

#include "libdocument/yaml_reader.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <vector>

namespace chivevane {

namespace {

using parsed_request = std::variant<admin_command, admin_problem>;

constexpr std::size_t min_edit_id_length = 8; // Shorter edit ids are not unique enough.
constexpr std::size_t max_timeline_limit = 10'000;

template <typename Number>
std::optional<Number> parse_integer(std::string_view text)
{
    Number value{};
    const auto* const end = text.data() + text.size();
    const auto [parsed_end, error_code] = std::from_chars(text.data(), end, value);
    if (text.empty() || error_code != std::errc{} || parsed_end != end) {
        return std::nullopt;
    }
    return value;
}

/// Splits a text at each separator. Empty parts are kept.
std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    for (auto end = text.find(separator); end != std::string_view::npos;
         end = text.find(separator)) {
        parts.push_back(text.substr(0, end));
        text.remove_prefix(end + 1);
    }
    parts.push_back(text);
    return parts;
}

/// One name=value pair of a URL query.
struct query_parameter {
    std::string_view m_name;
    std::string_view m_value;
};

std::vector<query_parameter> parse_query(std::string_view query)
{
    std::vector<query_parameter> parameters;
    for (const auto part : query.empty() ? std::vector<std::string_view>{} : split(query, '&')) {
        const auto equals = part.find('=');
        const bool has_value = equals != std::string_view::npos;
        parameters.push_back(
            {part.substr(0, equals), has_value ? part.substr(equals + 1) : std::string_view{}});
    }
    return parameters;
}

/// Parses a hybrid time such as `7.0`: wall-clock milliseconds and a counter.
std::optional<hybrid_time> parse_time(std::string_view text)
{
    const auto dot = text.find('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const auto wall = parse_integer<std::int64_t>(text.substr(0, dot));
    const auto counter = parse_integer<std::uint32_t>(text.substr(dot + 1));
    if (!wall || !counter) {
        return std::nullopt;
    }
    return hybrid_time{*wall, *counter};
}

admin_problem invalid_parameter(const query_parameter& parameter)
{
    return {admin_problem_kind::malformed_query,
            fmt::format("The parameter {} is unknown or has a value out of its bounds.",
                        parameter.m_name)};
}

parsed_request parse_timeline(std::string_view query)
{
    read_timeline command;
    for (const auto& parameter : parse_query(query)) {
        const auto limit = parse_integer<std::size_t>(parameter.m_value);
        if (parameter.m_name == "after" && parse_time(parameter.m_value)) {
            command.m_after = parse_time(parameter.m_value);
        }
        else if (parameter.m_name == "limit" && limit && *limit >= 1 &&
                 *limit <= max_timeline_limit) {
            command.m_limit = *limit;
        }
        else {
            return invalid_parameter(parameter);
        }
    }
    return admin_command{command};
}

parsed_request parse_organisations(std::string_view query)
{
    list_organisations command;
    for (const auto& parameter : parse_query(query)) {
        if (parameter.m_name != "document" || !is_name(parameter.m_value)) {
            return invalid_parameter(parameter);
        }
        command.m_document = parameter.m_value;
    }
    return admin_command{std::move(command)};
}

std::optional<char> parse_hex_byte(std::string_view digits)
{
    unsigned value = 0;
    const auto* const end = digits.data() + digits.size();
    const auto [parsed_end, error_code] = std::from_chars(digits.data(), end, value, 16);
    if (digits.size() != 2 || error_code != std::errc{} || parsed_end != end) {
        return std::nullopt;
    }
    return static_cast<char>(value);
}

/// Decodes percent-encoded bytes (RFC 3986 section 2.1). Returns nothing if one is malformed.
std::optional<std::string> decode_percent(std::string_view text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] != '%') {
            decoded += text[at];
            continue;
        }
        const auto byte = parse_hex_byte(text.substr(at + 1, 2));
        if (!byte) {
            return std::nullopt;
        }
        decoded += *byte;
        at += 2;
    }
    return decoded;
}

bool is_digest(std::string_view text)
{
    constexpr std::size_t digest_length = 64; // Hexadecimal digits of SHA-256.
    return text.size() == digest_length && std::all_of(text.begin(), text.end(), [](char digit) {
               return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
           });
}

/// Whether `text` is NAME or DOCUMENT/NAME.
bool is_organisation(std::string_view text)
{
    const auto parts = split(text, '/');
    return parts.size() <= 2 && std::all_of(parts.begin(), parts.end(), is_name);
}

/// Stores one parameter of `GET /v1/explain`. Returns whether its name and its value are valid.
bool read_parameter(read_explanation& command, std::string_view name, const std::string& value)
{
    constexpr std::int64_t max_timeout_ms = 3'600'000; // As for X-Request-Timeout-Ms.
    if (value.empty()) {
        return false;
    }
    if (name == "method") {
        command.m_method = value;
        return true;
    }
    if (name == "host") {
        command.m_host = value;
        return true;
    }
    if (name == "path") {
        command.m_target = value;
        return value.front() == '/';
    }
    if (name == "organisation") {
        command.m_organisation = value;
        return command.m_key_digest.empty() && is_organisation(value);
    }
    if (name == "key_digest") {
        command.m_key_digest = value;
        return command.m_organisation.empty() && is_digest(value);
    }
    if (name == "timeout_ms") {
        command.m_timeout_ms = parse_integer<std::int64_t>(value);
        return command.m_timeout_ms.value_or(0) >= 1 && *command.m_timeout_ms <= max_timeout_ms;
    }
    return false;
}

parsed_request parse_explanation(std::string_view query)
{
    read_explanation command;
    for (const auto& parameter : parse_query(query)) {
        const auto value = decode_percent(parameter.m_value);
        if (!value || !read_parameter(command, parameter.m_name, *value)) {
            return invalid_parameter(parameter);
        }
    }
    if (command.m_target.empty()) {
        return admin_problem{admin_problem_kind::malformed_query, "The parameter path is missing."};
    }
    return admin_command{std::move(command)};
}

/// Parses an entity tag that holds a revision (RFC 9110 section 8.8.3). Weak tags are rejected.
std::optional<std::uint64_t> parse_revision_tag(std::string_view tag)
{
    if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') {
        return std::nullopt;
    }
    return parse_integer<std::uint64_t>(tag.substr(1, tag.size() - 2));
}

/// Reads the precondition of a write into `command`. Returns a problem if the condition is missing
/// or malformed.
std::optional<admin_problem> read_condition(const request_head& head, write_document& command)
{
    const auto match = find_field(head.m_fields, "If-Match");
    const auto none_match = find_field(head.m_fields, "If-None-Match");
    if (!match && !none_match) {
        return admin_problem{admin_problem_kind::condition_missing};
    }
    if ((match && none_match) || (none_match && *none_match != "*")) {
        return admin_problem{admin_problem_kind::malformed_condition};
    }
    if (none_match) {
        command.m_condition = write_condition::must_be_new;
        return std::nullopt;
    }
    if (*match == "*") {
        command.m_condition = write_condition::must_exist;
        return std::nullopt;
    }
    const auto revision = parse_revision_tag(*match);
    if (!revision) {
        return admin_problem{admin_problem_kind::malformed_condition};
    }
    command.m_revision = *revision;
    return std::nullopt;
}

parsed_request parse_write(const request_head& head, std::string_view name)
{
    write_document command{std::string{name}};
    if (auto problem = read_condition(head, command)) {
        return std::move(*problem);
    }
    if (const auto edit_id = find_field(head.m_fields, "X-Edit-Id")) {
        if (edit_id->size() < min_edit_id_length || !is_name(*edit_id)) {
            return admin_problem{admin_problem_kind::malformed_edit_id};
        }
        command.m_edit_id = *edit_id;
    }
    return admin_command{std::move(command)};
}

admin_problem not_allowed(std::string_view methods)
{
    return {admin_problem_kind::method_not_allowed, "", {}, std::string{methods}};
}

/// Returns `command` if the method is GET, and a problem otherwise.
parsed_request allow_only_get(const request_head& head, admin_command command)
{
    if (head.m_method != "GET") {
        return not_allowed("GET");
    }
    return command;
}

parsed_request parse_document_request(const request_head& head,
                                      const std::vector<std::string_view>& parts)
{
    const auto name = parts[2];
    if (!is_name(name)) {
        return admin_problem{admin_problem_kind::no_document};
    }
    if (parts.size() == 3 && head.m_method == "PUT") {
        return parse_write(head, name);
    }
    if (parts.size() == 3) {
        return head.m_method == "GET" ? parsed_request{read_document{std::string{name}}}
                                      : not_allowed("GET, PUT");
    }
    if (parts.size() == 4 && parts[3] == "rollout") {
        return allow_only_get(head, read_rollout{std::string{name}});
    }
    if (parts.size() == 4 && parts[3] == "check") {
        return head.m_method == "POST" ? parsed_request{check_document{std::string{name}}}
                                       : not_allowed("POST");
    }
    return admin_problem{admin_problem_kind::no_resource};
}

parsed_request parse_host_request(const request_head& head,
                                  const std::vector<std::string_view>& parts)
{
    if (parts.size() != 4 || parts[3] != "declare-dead" || !is_name(parts[2])) {
        return admin_problem{admin_problem_kind::no_resource};
    }
    if (head.m_method != "POST") {
        return not_allowed("POST");
    }
    return admin_command{declare_host_dead{std::string{parts[2]}}};
}

parsed_request parse_collection_request(const request_head& head, std::string_view path,
                                        std::string_view query)
{
    if (path == "v1/documents") {
        return allow_only_get(head, list_documents{});
    }
    if (path == "v1/hosts") {
        return allow_only_get(head, list_hosts{});
    }
    if (path == "v1/upstreams") {
        return allow_only_get(head, list_upstreams{});
    }
    if (path == "metrics") {
        return allow_only_get(head, read_metrics{});
    }
    if (path == "v1/organisations") {
        return head.m_method == "GET" ? parse_organisations(query) : not_allowed("GET");
    }
    if (path == "v1/explain") {
        return head.m_method == "GET" ? parse_explanation(query) : not_allowed("GET");
    }
    if (path == "v1/timeline") {
        return head.m_method == "GET" ? parse_timeline(query) : not_allowed("GET");
    }
    return admin_problem{admin_problem_kind::no_resource};
}

} // namespace

std::variant<admin_command, admin_problem> parse_admin_request(const request_head& head)
{
    const std::string_view target = head.m_target;
    const auto question_mark = target.find('?');
    const auto path = target.substr(0, question_mark);
    const auto query = question_mark == std::string_view::npos ? std::string_view{}
                                                               : target.substr(question_mark + 1);
    if (!path.starts_with('/')) {
        return admin_problem{admin_problem_kind::no_resource};
    }
    const auto parts = split(path.substr(1), '/');
    if (parts.size() >= 3 && parts[0] == "v1" && parts[1] == "documents") {
        return parse_document_request(head, parts);
    }
    if (parts.size() >= 3 && parts[0] == "v1" && parts[1] == "hosts") {
        return parse_host_request(head, parts);
    }
    return parse_collection_request(head, path.substr(1), query);
}

} // namespace chivevane
