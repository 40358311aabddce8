#include "libhttp/message_parser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <limits>
#include <type_traits>
#include <utility>

namespace chivevane {

namespace {

namespace beast = boost::beast;

constexpr std::string_view head_end = "\r\n\r\n";

/// Returns whether a head has a line feed without a carriage return, or a folded line.
bool has_ambiguous_lines(std::string_view head)
{
    for (auto position = head.find('\n'); position != std::string_view::npos;
         position = head.find('\n', position + 1)) {
        const bool is_bare = position == 0 || head[position - 1] != '\r';
        const bool is_folded =
            position + 1 < head.size() && (head[position + 1] == ' ' || head[position + 1] == '\t');
        if (is_bare || is_folded) {
            return true;
        }
    }
    return false;
}

std::string to_string(beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Returns whether the fields define the end of the body in only one way.
bool has_unambiguous_framing(const std::vector<http_field>& fields)
{
    std::size_t lengths = 0;
    std::size_t codings = 0;
    bool is_chunked = true;
    for (const auto& field : fields) {
        if (equal_ignoring_case(field.m_name, "Content-Length")) {
            ++lengths;
        }
        if (equal_ignoring_case(field.m_name, "Transfer-Encoding")) {
            ++codings;
            is_chunked = equal_ignoring_case(field.m_value, "chunked");
        }
    }
    return lengths + codings <= 1 && is_chunked;
}

/// Collects the head and body that Beast's parser reports.
template <typename Head>
class collecting_parser : public beast::http::basic_parser<std::is_same_v<Head, request_head>> {
public:
    Head m_head;
    std::string m_body;
    int m_version = 11;
    bool m_has_head = false;

protected:
    void on_request_impl(beast::http::verb, beast::string_view method, beast::string_view target,
                         int version, beast::error_code&) override
    {
        m_version = version;
        if constexpr (std::is_same_v<Head, request_head>) {
            m_head.m_method = to_string(method);
            m_head.m_target = to_string(target);
        }
    }

    void on_response_impl(int status, beast::string_view, int version, beast::error_code&) override
    {
        m_version = version;
        if constexpr (std::is_same_v<Head, response_head>) {
            m_head.m_status = static_cast<std::uint16_t>(status);
        }
    }

    void on_field_impl(beast::http::field, beast::string_view name, beast::string_view value,
                       beast::error_code&) override
    {
        if (!m_has_head) { // Trailer fields are dropped.
            m_head.m_fields.push_back({to_string(name), to_string(value)});
        }
    }

    void on_header_impl(beast::error_code&) override { m_has_head = true; }

    void on_body_init_impl(const boost::optional<std::uint64_t>&, beast::error_code&) override {}

    std::size_t on_body_impl(beast::string_view part, beast::error_code&) override
    {
        m_body.append(part.data(), part.size());
        return part.size();
    }

    void on_chunk_header_impl(std::uint64_t, beast::string_view, beast::error_code&) override {}

    std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view part,
                                   beast::error_code& problem) override
    {
        return on_body_impl(part, problem);
    }

    void on_finish_impl(beast::error_code&) override {}
};

} // namespace

template <typename Head>
class message_parser<Head>::implementation {
public:
    implementation(const message_limits& limits, body_expectation body) : m_limits(limits)
    {
        m_parser.header_limit(static_cast<std::uint32_t>(limits.m_max_head_size));
        // Beast compares an empty optional limit as less than any length, so the greatest number is
        // used to disable the limit.
        m_parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        m_parser.eager(true);
        m_parser.skip(body == body_expectation::never);
    }

    void consume(std::string& input)
    {
        if (m_state == parse_state::in_head) {
            consume_head(input);
        }
        if (m_state == parse_state::in_body) {
            consume_body(input);
        }
    }

    void consume_end_of_stream()
    {
        if (m_state == parse_state::in_head) {
            fail(parse_error::malformed);
        }
        if (m_state != parse_state::in_body) {
            return;
        }
        beast::error_code problem;
        m_parser.put_eof(problem);
        if (problem) {
            fail(parse_error::malformed);
        }
        else {
            m_state = parse_state::complete;
        }
    }

    message_limits m_limits;
    collecting_parser<Head> m_parser;
    parse_state m_state = parse_state::in_head;
    parse_error m_failure = parse_error::none;
    std::size_t m_body_size = 0; ///< The number of body bytes parsed so far.

private:
    static constexpr bool is_request = std::is_same_v<Head, request_head>;

    void fail(parse_error failure)
    {
        m_state = parse_state::failed;
        m_failure = failure;
    }

    void consume_head(std::string& input)
    {
        if (is_request) {
            // RFC 9112 section 2.2 asks servers to ignore empty lines before a request.
            while (input.starts_with("\r\n")) {
                input.erase(0, 2);
            }
        }
        const auto end = input.find(head_end);
        const auto size = end == std::string::npos ? input.size() : end + head_end.size();
        if (size > m_limits.m_max_head_size) {
            fail(parse_error::head_too_large);
            return;
        }
        if (has_ambiguous_lines(std::string_view{input}.substr(0, size))) {
            fail(parse_error::malformed);
            return;
        }
        if (end == std::string::npos) {
            return;
        }
        beast::error_code problem;
        const auto used = m_parser.put(boost::asio::const_buffer{input.data(), size}, problem);
        input.erase(0, used);
        if ((problem && problem != beast::http::error::need_more) || !m_parser.is_header_done() ||
            !has_unambiguous_framing(m_parser.m_head.m_fields)) {
            fail(parse_error::malformed);
            return;
        }
        m_state = m_parser.is_done() ? parse_state::complete : parse_state::in_body;
        check_content_length();
    }

    void check_content_length()
    {
        const auto length = m_parser.content_length();
        if (is_request && length && *length > m_limits.m_max_body_size) {
            fail(parse_error::body_too_large);
        }
    }

    void consume_body(std::string& input)
    {
        if (input.empty()) {
            return;
        }
        const auto before = m_parser.m_body.size();
        beast::error_code problem;
        const auto used =
            m_parser.put(boost::asio::const_buffer{input.data(), input.size()}, problem);
        input.erase(0, used);
        m_body_size += m_parser.m_body.size() - before;
        if (problem && problem != beast::http::error::need_more) {
            fail(parse_error::malformed);
        }
        else if (is_request && m_body_size > m_limits.m_max_body_size) {
            fail(parse_error::body_too_large);
        }
        else if (is_request && !m_parser.is_done() && input.size() > m_limits.m_max_head_size) {
            fail(parse_error::head_too_large); // A chunk header or trailers without an end.
        }
        else if (m_parser.is_done()) {
            m_state = parse_state::complete;
        }
    }
};

template <typename Head>
message_parser<Head>::message_parser(const message_limits& limits, body_expectation body)
    : m_implementation(std::make_unique<implementation>(limits, body))
{
}

template <typename Head>
message_parser<Head>::~message_parser() = default;

template <typename Head>
message_parser<Head>::message_parser(message_parser&&) noexcept = default;

template <typename Head>
message_parser<Head>& message_parser<Head>::operator=(message_parser&&) noexcept = default;

template <typename Head>
void message_parser<Head>::consume(std::string& input)
{
    m_implementation->consume(input);
}

template <typename Head>
void message_parser<Head>::consume_end_of_stream()
{
    m_implementation->consume_end_of_stream();
}

template <typename Head>
parse_state message_parser<Head>::state() const
{
    return m_implementation->m_state;
}

template <typename Head>
parse_error message_parser<Head>::failure() const
{
    return m_implementation->m_failure;
}

template <typename Head>
const Head& message_parser<Head>::head() const
{
    return m_implementation->m_parser.m_head;
}

template <typename Head>
Head message_parser<Head>::take_head()
{
    return std::exchange(m_implementation->m_parser.m_head, {});
}

template <typename Head>
std::optional<std::uint64_t> message_parser<Head>::content_length() const
{
    const auto length = m_implementation->m_parser.content_length();
    return length ? std::optional<std::uint64_t>{*length} : std::nullopt;
}

template <typename Head>
std::string message_parser<Head>::take_body()
{
    return std::exchange(m_implementation->m_parser.m_body, {});
}

template <typename Head>
bool message_parser<Head>::keeps_connection() const
{
    return m_implementation->m_state == parse_state::complete &&
           m_implementation->m_parser.keep_alive();
}

template <typename Head>
int message_parser<Head>::minor_version() const
{
    return m_implementation->m_parser.m_version % 10;
}

template class message_parser<request_head>;
template class message_parser<response_head>;

} // namespace chivevane
