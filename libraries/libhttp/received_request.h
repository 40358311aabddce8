#pragma once

#include "libwire/request_head.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace chivevane {

/// A request that was received completely. The exchange id identifies it in calls to the server
/// that received it.
struct received_request {
    std::uint64_t m_exchange = 0;
    request_head m_head;
    std::shared_ptr<const std::string> m_body;
};

/// The callbacks of a server. They run on the server's loop.
struct http_server_handlers {
    std::function<void(received_request)> m_on_request;
    /// Called when the caller disconnected before its answer was complete.
    std::function<void(std::uint64_t exchange)> m_on_disconnect;
};

} // namespace chivevane
