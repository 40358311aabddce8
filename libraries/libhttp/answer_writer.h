#pragma once

#include "libbase/instant.h"
#include "libwire/response_head.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace chivevane {

/// The peer that reads an answer. It exists as long as its connection, also after the exchange has
/// ended.
class answer_reader {
public:
    answer_reader() = default;
    virtual ~answer_reader() = default;
    answer_reader(const answer_reader&) = delete;
    answer_reader& operator=(const answer_reader&) = delete;

    /// Returns when the peer last took bytes, or nothing if no bytes wait to be written to it.
    virtual std::optional<instant> waiting_since() const = 0;

    /// Closes the connection in the next turn of the loop, also if bytes wait to be written. The
    /// exchanges that have not ended are reported as disconnected.
    virtual void close_soon() = 0;
};

/// Writes the answers to requests that a server received. An exchange id names one request and its
/// answer. A call with an unknown exchange id, such as that of a caller that has disconnected, does
/// nothing, except that `write` reports the failure to `on_written`.
class answer_writer {
public:
    answer_writer() = default;
    virtual ~answer_writer() = default;
    answer_writer(const answer_writer&) = delete;
    answer_writer& operator=(const answer_writer&) = delete;

    /// Sends the head and the complete body, and ends the exchange.
    virtual void respond(std::uint64_t exchange, const response_head& head, std::string body) = 0;

    /// Writes the head of an answer whose body is passed to `write`. With a Content-Length field in
    /// `head` the body is sent as it is; without one the body is sent with chunked coding.
    virtual void begin(std::uint64_t exchange, const response_head& head) = 0;

    /// Writes a part of the body. `on_written` is called with true once the part has been passed to
    /// the operating system, or with false if the connection is closed.
    virtual void write(std::uint64_t exchange, std::string part,
                       std::function<void(bool)> on_written) = 0;

    /// Ends an exchange whose answer has been written completely.
    virtual void finish(std::uint64_t exchange) = 0;

    /// Closes the connection, so that the caller can tell that the answer is incomplete.
    virtual void abort(std::uint64_t exchange) = 0;

    /// Returns the reader of an exchange's answer, or nothing if the writer does not know it.
    virtual std::weak_ptr<answer_reader> reader_of(std::uint64_t) { return {}; }

    /// Closes the connection of an exchange if the caller has closed it already, which the server
    /// may not have read yet. Returns whether the caller has left.
    virtual bool close_if_left(std::uint64_t exchange) = 0;
};

} // namespace chivevane
