#pragma once

#include "libwire/host_address.h"

#include <cereal/types/string.hpp>
#include <cstdint>
#include <string>

namespace chivevane {

/// Asks the host that meters an organisation whether one request may start.
struct token_request {
    host_address m_address;     ///< Of the sender.
    std::uint64_t m_id = 0;     ///< The sender's; a repeated request has the same.
    std::string m_meter;        ///< Host that decides; another receiver passes the request on.
    std::string m_organisation; ///< document/organisation
    float m_rate = 0;           ///< Limit over all hosts, requests per second.
    float m_burst = 0;
    std::uint32_t m_unasked = 0; ///< Requests that the sender let through without an answer.

    bool operator==(const token_request&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_address, m_id, m_meter, m_organisation, m_rate, m_burst, m_unasked);
    }
};

/// Whether the request may start.
enum class token_verdict : std::uint8_t { granted, refused };

/// Answers a `token_request`.
struct token_response {
    std::uint64_t m_id = 0;
    token_verdict m_verdict = token_verdict::granted;
    std::uint32_t m_retry_after_ms = 0; ///< Until the next token, if refused.

    bool operator==(const token_response&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_id, m_verdict, m_retry_after_ms);
    }
};

} // namespace chivevane
