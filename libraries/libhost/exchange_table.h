#pragma once

#include "libbase/instant.h"
#include "libhttp/answer_port.h"
#include "libpolicy/identifiers.h"
#include "libwire/request_head.h"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

namespace chivevane {

/// An exchange that the reducer has not ended: where to answer it, and its body.
struct held_exchange {
    answer_port* m_server = nullptr;
    std::shared_ptr<const std::string> m_body;
    instant m_received_at;
    std::uint16_t m_status = 0; ///< Of the answer that is being relayed.
    request_head m_request;     ///< As the reducer got it; of callers only.
};

/// The exchanges of all listeners of this process.
using exchange_table = std::unordered_map<exchange_id, held_exchange>;

} // namespace chivevane
