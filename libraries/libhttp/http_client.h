#pragma once

#include "libbase/instant.h"
#include "libwire/request_head.h"
#include "libwire/response_head.h"
#include "libwire/transfer.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace chivevane {

/// One request to an IP number and port.
struct outgoing_request {
    std::string m_ip;
    std::uint16_t m_port = 0;
    request_head m_head;
    std::shared_ptr<const std::string> m_body; ///< Null means none.
    connection_choice m_connection = connection_choice::reuse;
    duration m_connect_timeout = 1s;
    duration m_stall_timeout = 10s; ///< Between two parts of the body.
    duration m_total_timeout{};     ///< Zero means none.
};

/// Whether the reader of a body is ready for more.
enum class flow : std::uint8_t { ready, pause };

/// Called on the loop, never from inside a call of `http_client`. They must not call it either, but
/// post what they want of it, since libcurl cannot be entered twice.
struct transfer_handlers {
    std::function<void(response_head)> m_on_head;
    /// Takes a part of the body. After `pause` the same part is offered again by
    /// `http_client::resume`.
    std::function<flow(std::string_view)> m_on_body;
    std::function<void(transfer_end, std::string detail)> m_on_end;
};

/// Outgoing HTTP/1.1 requests by libcurl's socket interface on an Asio loop.
class http_client {
public:
    explicit http_client(asio::io_context& loop);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// A transfer id for uses that have no numbers of their own; these begin at 2^63.
    std::uint64_t make_transfer_id();

    /// Sends a request once. It is never repeated on another connection behind the caller's back.
    void start(std::uint64_t transfer, outgoing_request request, transfer_handlers handlers);

    /// Ends a transfer and closes its connection; no handler is called any more.
    void cancel(std::uint64_t transfer);

    /// Goes on with a transfer whose body was paused.
    void resume(std::uint64_t transfer);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace chivevane
