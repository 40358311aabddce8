#pragma once

#include "libpolicy/identifiers.h"
#include "libwire/request_head.h"
#include "libwire/response_head.h"
#include "libwire/transfer.h"

#include <cstdint>
#include <string>

namespace chivevane {

/// The listeners whose requests the reducer decides on.
enum class listener_kind : std::uint8_t { caller, gate };

/// A whole request came in. Its body stays with the shell, bounded, until the exchange ends.
struct inbound_request {
    exchange_id m_exchange = 0;
    listener_kind m_listener = listener_kind::caller;
    request_head m_head;
    std::uint64_t m_body_size = 0; ///< Bytes.
    std::uint64_t m_body_hash = 0; ///< Hash of the body, the same on all hosts.

    bool operator==(const inbound_request&) const = default;
};

/// The other side of an exchange closed its connection before it had the whole answer.
struct inbound_gone {
    exchange_id m_exchange = 0;

    bool operator==(const inbound_gone&) const = default;
};

/// The head of a transfer's answer has come. The body waits until it is relayed or cancelled.
struct transfer_head {
    transfer_id m_transfer = 0;
    response_head m_head;

    bool operator==(const transfer_head&) const = default;
};

/// A transfer is over; its id is not used again. Not reported for a cancelled transfer.
struct transfer_ended {
    transfer_id m_transfer = 0;
    transfer_end m_end = transfer_end::complete;
    std::uint64_t m_body_bytes = 0; ///< Body bytes received, all of which were relayed if any.
    std::string m_detail;           ///< Cause for the log.

    bool operator==(const transfer_ended&) const = default;
};

} // namespace chivevane
