#pragma once

#include "libwire/request_head.h"
#include "libwire/response_head.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace chivevane {

/// How much of a message may be read. Sizes in bytes.
struct message_limits {
    std::size_t m_max_head_size = 32'768;
    std::size_t m_max_body_size = 8 * 1024 * 1024; ///< Of requests only; answers are streamed.
};

/// How far a message has been read.
enum class parse_state : std::uint8_t { in_head, in_body, complete, failed };

/// Why a message cannot be read.
enum class parse_fault : std::uint8_t { none, malformed, head_too_large, body_too_large };

/// Whether an answer has a body at all: answers to HEAD do not, whatever length they announce.
enum class body_expectation : std::uint8_t { by_framing, never };

/// Reads one HTTP/1.1 message (RFC 9112) from bytes as they come. `Head` is `request_head` or
/// `response_head`. Stricter than the RFC asks: bare line feeds, folded fields, and a message with
/// both a length and a transfer coding are malformed, since readers differ on what they mean.
template <typename Head>
class message_parser {
public:
    explicit message_parser(const message_limits& limits,
                            body_expectation body = body_expectation::by_framing);
    ~message_parser();
    message_parser(message_parser&&) noexcept;
    message_parser& operator=(message_parser&&) noexcept;

    /// Takes the bytes that belong to the message off the front of `input`.
    void consume(std::string& input);

    /// The connection was closed in order: ends a body that is delimited by it, or fails.
    void consume_end_of_stream();

    parse_state state() const;
    parse_fault fault() const;

    /// Complete once the state is beyond `in_head`.
    const Head& head() const;

    /// Body bytes that were read and not taken yet.
    std::string take_body();

    /// Whether the connection may carry another message after this one.
    bool keeps_connection() const;

    /// Minor version of HTTP/1 in the message.
    int minor_version() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

extern template class message_parser<request_head>;
extern template class message_parser<response_head>;

} // namespace chivevane
