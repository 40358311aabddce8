#pragma once

#include "libpolicy/identifiers.h"
#include "libwire/request_head.h"
#include "libwire/response_head.h"
#include "libwire/transfer.h"

#include <cstdint>
#include <string>

namespace chivevane {

/// The listeners whose requests go to the reducer: that for callers, and that for the ingresses of
/// all hosts.
enum class listener_kind : std::uint8_t { caller, gate };

/// A complete request was received. The process around the reducer keeps its body, whose size is
/// limited, until the exchange ends.
struct inbound_request {
    exchange_id m_exchange = 0;
    listener_kind m_listener = listener_kind::caller;
    request_head m_head;
    std::uint64_t m_body_size = 0; ///< Bytes.
    std::uint64_t m_body_hash = 0; ///< A hash that is the same on all hosts.

    bool operator==(const inbound_request&) const = default;
};

/// The client of an exchange closed its connection before it had the complete answer.
struct inbound_disconnected {
    exchange_id m_exchange = 0;

    bool operator==(const inbound_disconnected&) const = default;
};

/// The head of a transfer's answer was received. The body is held back until the transfer is
/// relayed or cancelled.
struct transfer_head {
    transfer_id m_transfer = 0;
    response_head m_head;

    bool operator==(const transfer_head&) const = default;
};

/// A transfer has ended. Its id is not used again. A cancelled transfer has no such event.
struct transfer_ended {
    transfer_id m_transfer = 0;
    transfer_end m_end = transfer_end::complete;
    std::uint64_t m_body_bytes = 0; ///< Body bytes received. If any were relayed, all were.
    std::string m_detail;           ///< The cause of the end, for the log.

    bool operator==(const transfer_ended&) const = default;
};

} // namespace chivevane
