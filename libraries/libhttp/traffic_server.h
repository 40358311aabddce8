#pragma once

#include "libbase/instant.h"
#include "libhttp/answer_port.h"
#include "libhttp/message_parser.h"
#include "libhttp/received_request.h"

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace chivevane {

/// Where a traffic server listens and what it takes.
struct traffic_server_options {
    std::string m_ip;
    std::uint16_t m_port = 0;
    message_limits m_limits;
    duration m_head_timeout = 10s;   ///< From the first byte of a request to the end of its head.
    duration m_idle_timeout = 75s;   ///< For a connection without a request, or a body that pauses.
    std::size_t m_max_pipelined = 8; ///< Requests of one connection that are not answered yet.
};

/// The listener for requests of callers and hosts: HTTP/1.1 on an Asio loop, read strictly.
///
/// Requests that are pipelined behind others are handed on at once where their method is safe
/// (RFC 9110 section 9.2.1), others once all answers before them are written. Answers are written
/// in the order of the requests. A request that cannot be read is answered with a problem document
/// and closes the connection; it is never handed on.
class traffic_server : public answer_port {
public:
    /// `last_exchange` counts exchanges; servers of one process share it so that ids are unique.
    traffic_server(asio::io_context& loop, traffic_server_options options,
                   http_server_handlers handlers, std::uint64_t& last_exchange);
    ~traffic_server() override;

    /// Starts to listen. Throws std::exception when the address cannot be bound.
    void open();

    /// Stops to listen and closes all connections.
    void close();

    /// Replaces limits and timeouts for what is read from now on.
    void set_limits(const message_limits& limits, duration head_timeout, duration idle_timeout);

    /// Announces with each answer from now on that its connection will be closed after it.
    void announce_closing();

    /// Closes the connections that have no request under way.
    void close_idle_connections();

    /// Connections that are open.
    std::size_t connection_count() const;

    void respond(std::uint64_t exchange, const response_head& head, std::string body) override;
    void begin(std::uint64_t exchange, const response_head& head) override;
    void write(std::uint64_t exchange, std::string part,
               std::function<void(bool)> on_written) override;
    void finish(std::uint64_t exchange) override;
    void abort(std::uint64_t exchange) override;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace chivevane
