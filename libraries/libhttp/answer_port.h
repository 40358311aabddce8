#pragma once

#include "libwire/response_head.h"

#include <cstdint>
#include <functional>
#include <string>

namespace chivevane {

/// Where the exchanges of a listener are answered. Calls that name an unknown exchange, such as one
/// whose caller has gone, do nothing.
class answer_port {
public:
    answer_port() = default;
    virtual ~answer_port() = default;
    answer_port(const answer_port&) = delete;
    answer_port& operator=(const answer_port&) = delete;

    /// Answers with a whole body and ends the exchange.
    virtual void respond(std::uint64_t exchange, const response_head& head, std::string body) = 0;

    /// Writes the head of an answer whose body follows by `write`. A Content-Length field in `head`
    /// sets the framing; without one the body is sent in chunks.
    virtual void begin(std::uint64_t exchange, const response_head& head) = 0;

    /// Writes a part of the body; `on_written` is called when it was handed to the system, or with
    /// false when the connection is gone.
    virtual void write(std::uint64_t exchange, std::string part,
                       std::function<void(bool)> on_written) = 0;

    /// Ends an answer that was written whole.
    virtual void finish(std::uint64_t exchange) = 0;

    /// Closes the connection, so that the answer is visibly incomplete.
    virtual void abort(std::uint64_t exchange) = 0;
};

} // namespace chivevane
