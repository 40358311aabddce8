#pragma once

#include "libwire/host_identity.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivevane {

/// Names one attempt of one request over all hosts and restarts.
struct attempt_id {
    host_identity m_ingress;     ///< The run of the host that owns the request.
    std::uint64_t m_request = 0; ///< Counts the requests of that run.
    std::uint32_t m_attempt = 0; ///< Counts the attempts of the request, from 1.

    auto operator<=>(const attempt_id&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_ingress, m_request, m_attempt);
    }
};

/// `host/incarnation/request/attempt`, as in header fields and logs.
std::string to_string(const attempt_id& id);

/// Reads what `to_string` wrote.
std::optional<attempt_id> parse_attempt_id(std::string_view text);

} // namespace chivevane
