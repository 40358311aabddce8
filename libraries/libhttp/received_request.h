#pragma once

#include "libwire/request_head.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace chivevane {

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

} // namespace chivevane
