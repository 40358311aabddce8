#pragma once

#include "libbase/instant.h"
#include "libhttp/answer_writer.h"
#include "libhttp/received_request.h"
#include "libwire/request_head.h"
#include "libwire/response_head.h"

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace chivevane {

/// The address and limits of an `http_server`.
struct http_server_options {
    std::string m_ip;
    std::uint16_t m_port = 0;
    std::size_t m_max_head_size = 32'768; ///< In bytes. A longer head closes the connection.
    std::size_t m_max_body_size = 8 * 1024 * 1024; ///< In bytes. Longer bodies get a 413 answer.
    std::size_t m_max_field_count = 100;
    std::size_t m_max_field_name_size = 1'024; ///< In bytes.
    /// The time that a connection may have no complete request.
    duration m_idle_timeout = 75s;
    duration m_write_timeout = 60s; ///< The time limit of one write to a slow reader.
    /// Connections at the same time; more of them wait to be accepted.
    std::size_t m_max_connections = std::numeric_limits<std::size_t>::max();
    /// Whether each answer closes its connection. A short `m_idle_timeout` could otherwise close a
    /// connection just as its peer sends the next request.
    bool m_closes_after_answer = false;
};

/// An HTTP/1.1 server on an Asio loop, built on RESTinio. All calls must be made from that loop.
class http_server : public answer_writer {
public:
    /// `last_exchange` is the counter that exchange ids are taken from. The servers of a process
    /// share it, so that ids are unique.
    http_server(asio::io_context& loop, http_server_options options, http_server_handlers handlers,
                std::uint64_t& last_exchange);
    ~http_server() override;

    /// Starts listening. Throws std::exception when the address cannot be bound.
    void open();

    /// Stops listening and closes all connections.
    void close();

    bool has_exchange(std::uint64_t exchange) const;

    void respond(std::uint64_t exchange, const response_head& head, std::string body) override;
    void begin(std::uint64_t exchange, const response_head& head) override;
    void write(std::uint64_t exchange, std::string part,
               std::function<void(bool)> on_written) override;
    void finish(std::uint64_t exchange) override;
    void abort(std::uint64_t exchange) override;
    bool close_if_left(std::uint64_t) override { return false; }

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace chivevane
