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

/// Version of the datagram format. A host drops other versions, counted.
constexpr std::uint8_t datagram_version = 1;

/// Longest datagram in bytes; larger ones would be fragmented on an Ethernet of 1,500 bytes.
constexpr std::size_t max_datagram_size = 1400;

/// One message from one host with its stamp.
struct datagram {
    host_identity m_sender;
    std::uint64_t m_sequence = 0; ///< Counts the sender's datagrams.
    hybrid_time m_sent_at;
    message m_message;

    bool operator==(const datagram&) const = default;
};

/// The bytes of `packet`: version, body, HMAC-SHA-256 under `secret`. Fails with `too_large`.
result<std::string> encode_datagram(const datagram& packet, std::string_view secret);

/// Checks the signature and the version, then decodes. Fails with `unauthenticated` or `malformed`.
result<datagram> decode_datagram(std::string_view bytes, std::string_view secret);

} // namespace chivevane
