#pragma once

#include "libbase/instant.h"
#include "libwire/request_head.h"
#include "libwire/response_head.h"

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace chivevane {

/// Where a server listens and what it takes.
struct http_server_options {
    std::string m_ip;
    std::uint16_t m_port = 0;
    std::size_t m_max_head_size = 32'768;          ///< Bytes; longer heads close the connection.
    std::size_t m_max_body_size = 8 * 1024 * 1024; ///< Bytes; longer bodies are answered with 413.
    duration m_idle_timeout = 75s;                 ///< For a connection without a request.
    duration m_write_timeout = 60s;                ///< For one write to a slow reader.
};

/// A request that came in whole. The exchange names it in calls of `http_server`.
struct received_request {
    std::uint64_t m_exchange = 0;
    request_head m_head;
    std::shared_ptr<const std::string> m_body;
};

/// Called on the loop that runs the server.
struct http_server_handlers {
    std::function<void(received_request)> m_on_request;
    std::function<void(std::uint64_t exchange)> m_on_gone; ///< The other side closed early.
};

/// An HTTP/1.1 listener on an Asio loop. All calls are made from that loop.
class http_server {
public:
    /// `last_exchange` counts exchanges; servers of one process share it so that ids are unique.
    http_server(asio::io_context& loop, http_server_options options, http_server_handlers handlers,
                std::uint64_t& last_exchange);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Starts to listen. Throws std::exception when the address cannot be bound.
    void open();

    /// Stops to listen and closes all connections.
    void close();

    bool has_exchange(std::uint64_t exchange) const;

    /// Answers with a whole body and ends the exchange.
    void respond(std::uint64_t exchange, const response_head& head, std::string body);

    /// Writes the head of an answer whose body follows by `write`. A Content-Length field in `head`
    /// sets the framing; without one the body is sent in chunks.
    void begin(std::uint64_t exchange, const response_head& head);

    /// Writes a part of the body; `on_written` is called when it was handed to the system, or with
    /// false when the connection is gone.
    void write(std::uint64_t exchange, std::string part, std::function<void(bool)> on_written);

    /// Ends an answer that was written whole.
    void finish(std::uint64_t exchange);

    /// Closes the connection, so that the answer is visibly incomplete.
    void abort(std::uint64_t exchange);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace chivevane
