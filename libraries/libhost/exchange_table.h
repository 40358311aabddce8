#pragma once

#include "libbase/instant.h"
#include "libhttp/answer_writer.h"
#include "libpolicy/identifiers.h"
#include "libwire/request_head.h"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

namespace chivevane {

/// An exchange that the reducer has not ended yet, with the server that answers it and the body of
/// its request.
struct pending_exchange {
    answer_writer* m_server = nullptr;
    std::shared_ptr<const std::string> m_body; ///< Null for requests to the administration API.
    instant m_received_at;
    std::uint16_t m_status = 0; ///< HTTP status of the answer that is being relayed.
    /// The head of the request as the reducer received it. It is set only for requests of callers.
    request_head m_request;
};

/// The pending exchanges of all listeners of this process by their ids.
using exchange_table = std::unordered_map<exchange_id, pending_exchange>;

} // namespace chivevane
