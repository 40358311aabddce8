#pragma once

#include "libwire/host_identity.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivevane {

/// Identifies one attempt of one request, unique across all hosts and process restarts.
struct attempt_id {
    host_identity m_ingress;     ///< Process that received the request from its caller.
    std::uint64_t m_request = 0; ///< Sequence number of the request within that process.
    std::uint32_t m_attempt = 0; ///< Sequence number of the attempt within the request, from 1.

    auto operator<=>(const attempt_id&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_ingress, m_request, m_attempt);
    }
};

/// Formats `id` as `host/incarnation/request/attempt`, the form used in header fields and logs.
std::string to_string(const attempt_id& id);

/// Parses the output of `to_string`. Returns an empty optional if `text` is malformed.
std::optional<attempt_id> parse_attempt_id(std::string_view text);

} // namespace chivevane
