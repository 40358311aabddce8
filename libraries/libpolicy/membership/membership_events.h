#pragma once

#include "libwire/host_identity.h"
#include "libwire/hybrid_time.h"
#include "libwire/message.h"

#include <cstdint>

namespace chivevane {

/// A datagram with a valid signature was received.
struct datagram_received {
    host_identity m_sender;
    std::uint64_t m_sequence = 0;
    hybrid_time m_sent_at;
    message m_message;

    bool operator==(const datagram_received&) const = default;
};

} // namespace chivevane
