#pragma once

#include "libbase/instant.h"
#include "libhttp/answer_port.h"
#include "libhttp/received_request.h"
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

/// An HTTP/1.1 listener on an Asio loop. All calls are made from that loop.
class http_server : public answer_port {
public:
    /// `last_exchange` counts exchanges; servers of one process share it so that ids are unique.
    http_server(asio::io_context& loop, http_server_options options, http_server_handlers handlers,
                std::uint64_t& last_exchange);
    ~http_server() override;

    /// Starts to listen. Throws std::exception when the address cannot be bound.
    void open();

    /// Stops to listen and closes all connections.
    void close();

    bool has_exchange(std::uint64_t exchange) const;

    void respond(std::uint64_t exchange, const response_head& head, std::string body) override;
    void begin(std::uint64_t exchange, const response_head& head) override;
    void write(std::uint64_t exchange, std::string part,
               std::function<void(bool)> on_written) override;
    void finish(std::uint64_t exchange) override;
    void abort(std::uint64_t exchange) override;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace chivevane
