#pragma once

#include "libbase/instant.h"
#include "libwire/request_head.h"
#include "libwire/response_head.h"
#include "libwire/transfer.h"

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

/// Called on the loop, never from inside a call of the sender. They must not call it either, but
/// post what they want of it.
struct transfer_handlers {
    std::function<void(response_head)> m_on_head;
    /// Takes a part of the body. After `pause` the same part is offered again by `resume`.
    std::function<flow(std::string_view)> m_on_body;
    std::function<void(transfer_end, std::string detail)> m_on_end;
};

/// Sends requests over HTTP/1.1.
class request_sender {
public:
    request_sender() = default;
    virtual ~request_sender() = default;
    request_sender(const request_sender&) = delete;
    request_sender& operator=(const request_sender&) = delete;

    /// Sends a request once. It is never repeated on another connection behind the caller's back.
    virtual void start(std::uint64_t transfer, outgoing_request request,
                       transfer_handlers handlers) = 0;

    /// Ends a transfer and closes its connection; no handler is called any more.
    virtual void cancel(std::uint64_t transfer) = 0;

    /// Goes on with a transfer whose body was paused.
    virtual void resume(std::uint64_t transfer) = 0;
};

} // namespace chivevane
