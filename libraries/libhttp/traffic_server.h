#pragma once

#include "libbase/instant.h"
#include "libhttp/answer_writer.h"
#include "libhttp/memory_budget.h"
#include "libhttp/message_parser.h"
#include "libhttp/received_request.h"

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace chivevane {

/// The address, limits and timeouts of a traffic server.
struct traffic_server_options {
    std::string m_ip;
    std::uint16_t m_port = 0;
    message_limits m_limits;
    duration m_head_timeout = 10s;   ///< From the first byte of a request to the end of its head.
    duration m_idle_timeout = 75s;   ///< For a connection without a request or a stalled body.
    std::size_t m_max_pipelined = 8; ///< The limit of unanswered requests on one connection.
    /// The number of requests in progress on all connections from which pipelined ones wait for the
    /// answers before them; 0 means no limit. Each request in progress takes up to three further
    /// descriptors: to a gate, at the gate and to an upstream.
    std::size_t m_max_pipelining_requests = 0;
    std::size_t m_max_connections = 0; ///< Open connections, see `connection_limit.h`; 0: no limit.
    /// The memory that request bodies and unparsed input draw on; null means no budget.
    std::shared_ptr<memory_budget> m_memory;
    /// Returns fields to add to the refusal of a request for lack of memory; null adds none.
    std::function<std::vector<http_field>(const request_head&)> m_refusal_fields;
};

/// An HTTP/1.1 server with a strict parser, which receives the requests of callers and hosts on an
/// Asio loop.
///
/// A pipelined request is dispatched at once if its method is safe (RFC 9110 section 9.2.1), and
/// otherwise once all answers before it have been written. Answers are written in the order of the
/// requests. A request that cannot be parsed is never dispatched: the server answers it with a
/// problem document and closes the connection.
class traffic_server : public answer_writer {
public:
    /// `last_exchange` is the counter that exchange ids are taken from. The servers of a process
    /// share it, so that ids are unique.
    traffic_server(asio::io_context& loop, traffic_server_options options,
                   http_server_handlers handlers, std::uint64_t& last_exchange);
    ~traffic_server() override;

    /// Starts listening. Throws std::exception when the address cannot be bound.
    void open();

    /// Stops listening and closes all connections.
    void close();

    /// Replaces the limits and timeouts. New size limits apply to new connections, and to an open
    /// connection from the request after the one that it is reading or waiting for.
    void set_limits(const message_limits& limits, duration head_timeout, duration idle_timeout);

    /// Closes each connection after the answers to its dispatched requests. The last of these
    /// answers carries `Connection: close`.
    void announce_connection_close();

    /// Closes the connections that have no request in progress.
    void close_idle_connections();

    /// Returns the number of open connections.
    std::size_t connection_count() const;

    void respond(std::uint64_t exchange, const response_head& head, std::string body) override;
    void begin(std::uint64_t exchange, const response_head& head) override;
    void write(std::uint64_t exchange, std::string part,
               std::function<void(bool)> on_written) override;
    void finish(std::uint64_t exchange) override;
    void abort(std::uint64_t exchange) override;
    std::weak_ptr<answer_reader> reader_of(std::uint64_t exchange) override;
    bool close_if_left(std::uint64_t exchange) override;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace chivevane
