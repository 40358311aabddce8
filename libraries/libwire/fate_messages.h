#pragma once

#include "libwire/attempt_id.h"

#include <cereal/types/string.hpp>
#include <cstdint>

namespace chivevane {

/// What a gate knows of an attempt.
enum class attempt_fate : std::uint8_t {
    not_run, ///< The upstream never saw it and never will.
    may_run, ///< It was handed to the upstream.
    unknown, ///< The gate of that incarnation is gone.
};

/// Asks a gate to make sure that an attempt is not run if it was not handed over yet.
struct void_request {
    attempt_id m_attempt;
    std::uint64_t m_gate_incarnation = 0;

    bool operator==(const void_request&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_attempt, m_gate_incarnation);
    }
};

/// Answers a `void_request`.
struct void_response {
    attempt_id m_attempt;
    std::uint64_t m_gate_incarnation = 0;
    attempt_fate m_fate = attempt_fate::unknown;

    bool operator==(const void_response&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_attempt, m_gate_incarnation, m_fate);
    }
};

/// Tells that a request with this fingerprint was in flight when an upstream crashed.
struct crash_report {
    std::uint64_t m_fingerprint = 0; ///< Hash of organisation, route, method, target and body.
    std::string m_service;
    std::string m_endpoint;
    std::uint64_t m_report = 0; ///< Unique within the sender's incarnation, so doubles count once.

    bool operator==(const crash_report&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_fingerprint, m_service, m_endpoint, m_report);
    }
};

} // namespace chivevane
