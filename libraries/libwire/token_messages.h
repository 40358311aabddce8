#pragma once

#include "libwire/host_address.h"

#include <cereal/types/string.hpp>
#include <cstdint>
#include <string>

namespace chivevane {

/// Asks the host that meters an organisation, that is, holds its token bucket, whether one request
/// may start.
struct token_request {
    host_address m_address; ///< Address of the host that asks.
    std::uint64_t m_id = 0; ///< Id chosen by the host that asks; a retry carries the same id.
    std::string m_meter; ///< Name of the host that decides; any other receiver relays the request
                         ///< to it.
    std::string m_organisation; ///< Organisation as `document/organisation`.
    float m_rate = 0;           ///< Rate limit over all hosts in requests per second.
    float m_burst = 0;          ///< Burst limit over all hosts in requests.
    /// Requests that the asking host admitted without a response from the metering host and has not
    /// reported yet.
    std::uint32_t m_locally_admitted = 0;

    bool operator==(const token_request&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_address, m_id, m_meter, m_organisation, m_rate, m_burst, m_locally_admitted);
    }
};

/// Whether the request may start.
enum class token_decision : std::uint8_t { granted, refused };

/// Response to a `token_request`.
struct token_response {
    std::uint64_t m_id = 0; ///< Id of the `token_request`.
    token_decision m_decision = token_decision::granted;
    std::uint32_t m_retry_after_ms = 0; ///< Time until the next token, if the request is refused.

    bool operator==(const token_response&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_id, m_decision, m_retry_after_ms);
    }
};

} // namespace chivevane
