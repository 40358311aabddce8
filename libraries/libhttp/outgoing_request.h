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

/// One request to an IP address and port.
struct outgoing_request {
    std::string m_ip;
    std::uint16_t m_port = 0;
    request_head m_head;
    std::shared_ptr<const std::string> m_body; ///< Null means no body.
    connection_reuse m_connection_reuse = connection_reuse::allowed;
    duration m_connect_timeout = 1s;
    duration m_stall_timeout = 10s; ///< The longest time between two parts of the answer's body.
    duration m_total_timeout{};     ///< Zero means no limit.
};

/// Whether the receiver of a body accepts more data.
enum class body_flow : std::uint8_t { ready, pause };

/// The callbacks for one transfer. They run on the loop, never inside a call to the sender. They
/// must not call the sender directly, but post such calls to the loop.
struct transfer_handlers {
    std::function<void(response_head)> m_on_head;
    /// Receives a part of the body. If it returns `pause`, the same part is passed again after
    /// `resume`.
    std::function<body_flow(std::string_view)> m_on_body;
    std::function<void(transfer_end, std::string detail)> m_on_end;
};

/// Sends requests over HTTP/1.1.
class request_sender {
public:
    request_sender() = default;
    virtual ~request_sender() = default;
    request_sender(const request_sender&) = delete;
    request_sender& operator=(const request_sender&) = delete;

    /// Sends a request once. The sender never repeats it on another connection by itself.
    virtual void start(std::uint64_t transfer, outgoing_request request,
                       transfer_handlers handlers) = 0;

    /// Aborts a transfer and closes its connection. None of its handlers is called afterwards.
    virtual void cancel(std::uint64_t transfer) = 0;

    /// Resumes a transfer whose body was paused.
    virtual void resume(std::uint64_t transfer) = 0;
};

} // namespace chivevane
