#pragma once

#include "libwire/request_head.h"
#include "libwire/response_head.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace chivevane {

/// The size limits of a message, in bytes.
struct message_limits {
    std::size_t m_max_head_size = 32'768;
    std::size_t m_max_body_size =
        8 * 1024 * 1024; ///< Applies to requests only; answers are streamed.
};

/// The progress of parsing a message.
enum class parse_state : std::uint8_t { in_head, in_body, complete, failed };

/// The reason why a message was rejected.
enum class parse_error : std::uint8_t { none, malformed, head_too_large, body_too_large };

/// Whether a message can have a body. An answer to HEAD has none, even if it has a Content-Length
/// field.
enum class body_expectation : std::uint8_t { by_framing, never };

/// An incremental parser of one HTTP/1.1 message (RFC 9112). `Head` is `request_head` or
/// `response_head`. The parser is stricter than the RFC: it rejects bare line feeds, folded fields,
/// and messages with both a Content-Length and a Transfer-Encoding field, since implementations
/// interpret these differently.
template <typename Head>
class message_parser {
public:
    explicit message_parser(const message_limits& limits,
                            body_expectation body = body_expectation::by_framing);
    ~message_parser();
    message_parser(message_parser&&) noexcept;
    message_parser& operator=(message_parser&&) noexcept;

    /// Parses the bytes at the front of `input` that belong to the message and removes them.
    void consume(std::string& input);

    /// Must be called when the connection was closed in an orderly way. Completes a body that is
    /// delimited by the close; any other incomplete message fails.
    void consume_end_of_stream();

    parse_state state() const;
    parse_error failure() const;

    /// Returns the head, which is complete once the state is `in_body` or `complete`.
    const Head& head() const;

    /// Returns the head, and leaves none in the parser.
    Head take_head();

    /// Returns the length of the body that the Content-Length field states, or nothing if there is
    /// no such field. It is known once the head is complete.
    std::optional<std::uint64_t> content_length() const;

    /// Returns the body bytes parsed since the last call and removes them from the parser.
    std::string take_body();

    /// Returns whether the connection may carry another message after this one.
    bool keeps_connection() const;

    /// Returns the minor version of HTTP/1 that the message states.
    int minor_version() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

extern template class message_parser<request_head>;
extern template class message_parser<response_head>;

} // namespace chivevane
