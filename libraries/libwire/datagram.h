#pragma once

#include "libbase/result.h"
#include "libwire/host_identity.h"
#include "libwire/hybrid_time.h"
#include "libwire/message.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace chivevane {

/// Version of the datagram format. A host drops datagrams of other versions and counts them.
constexpr std::uint8_t datagram_version = 1;

/// Maximum size of a datagram in bytes. Larger datagrams would be fragmented on an Ethernet with an
/// MTU of 1,500 bytes.
constexpr std::size_t max_datagram_size = 1400;

/// A message between hosts with its sender, sequence number and send time.
struct datagram {
    host_identity m_sender;
    std::uint64_t m_sequence = 0; ///< Number of this datagram among those of the sender.
    hybrid_time m_sent_at;
    message m_message;

    bool operator==(const datagram&) const = default;
};

/// Encodes `packet` as the version, the body and an HMAC-SHA-256 of both keyed with `secret`. Fails
/// with `too_large` if the result exceeds `max_datagram_size` or a list in it is too long.
result<std::string> encode_datagram(const datagram& packet, std::string_view secret);

/// Verifies the HMAC and the version of a datagram and decodes it. Fails with `unauthenticated` if
/// the HMAC does not match, and with `malformed` otherwise.
result<datagram> decode_datagram(std::string_view bytes, std::string_view secret);

} // namespace chivevane
