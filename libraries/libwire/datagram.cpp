#include "libwire/datagram.h"

#include "libbase/digest.h"
#include "libwire/wire_archive.h"

#include <cereal/types/variant.hpp>
#include <fmt/format.h>

namespace chivevane {

namespace {

constexpr std::size_t hmac_size = 32; // bytes

std::string_view as_view(const digest_bytes& bytes)
{
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

error malformed(std::string_view reason)
{
    return {error_kind::malformed, fmt::format("Datagram dropped: {}.", reason),
            "Check that all hosts run compatible versions of chivevaned."};
}

} // namespace

result<std::string> encode_datagram(const datagram& packet, std::string_view secret)
{
    wire_output_archive archive;
    try {
        archive(datagram_version, packet.m_sender, packet.m_sequence, packet.m_sent_at,
                packet.m_message);
    }
    catch (const cereal::Exception& failure) {
        return error{error_kind::too_large,
                     fmt::format("A message cannot be encoded: {}.", failure.what()),
                     "Split the message before sending it."};
    }
    auto bytes = std::move(archive.m_bytes);
    bytes += as_view(hmac_sha256(secret, bytes));
    if (bytes.size() > max_datagram_size) {
        return error{error_kind::too_large,
                     fmt::format("A message of {} bytes exceeds the datagram limit of {} bytes.",
                                 bytes.size(), max_datagram_size),
                     "Split the message before sending it."};
    }
    return bytes;
}

result<datagram> decode_datagram(std::string_view bytes, std::string_view secret)
{
    if (bytes.size() < hmac_size + 1 || bytes.size() > max_datagram_size) {
        return malformed("its size is out of bounds");
    }
    const auto signed_part = bytes.substr(0, bytes.size() - hmac_size);
    const auto tag = hmac_sha256(secret, signed_part);
    if (!equal_in_constant_time(as_view(tag), bytes.substr(signed_part.size()))) {
        return error{error_kind::unauthenticated, "Datagram dropped: its signature does not match.",
                     "Give all hosts the same shared_secret in their settings."};
    }
    if (static_cast<std::uint8_t>(signed_part.front()) != datagram_version) {
        return malformed("its version is not supported");
    }
    datagram packet;
    try {
        wire_input_archive archive{signed_part.substr(1)};
        archive(packet.m_sender, packet.m_sequence, packet.m_sent_at, packet.m_message);
        if (!archive.m_remaining.empty()) {
            return malformed("extra bytes follow its message");
        }
    }
    catch (const std::exception& failure) {
        return malformed(failure.what());
    }
    return packet;
}

} // namespace chivevane
