#pragma once

#include "libwire/attempt_id.h"

#include <cereal/types/string.hpp>
#include <cstdint>

namespace chivevane {

/// What a gate knows of an attempt.
enum class attempt_fate : std::uint8_t {
    not_run,     ///< The upstream never saw it and never will.
    may_run,     ///< It was handed to the upstream, and its answer has begun or its run has ended.
    unknown,     ///< The gate of that incarnation is gone, or it can no longer tell.
    in_progress, ///< It waits at the gate or runs without an answer yet.
};

/// Which attempts a `void_request` stops.
enum class void_scope : std::uint8_t {
    not_handed_over, ///< All that the upstream has not seen, waiting ones included.
    never_seen,      ///< Only those that have not reached the gate: asks for signs of life.
};

/// Asks a gate to make sure that an attempt is not run if it was not handed over yet.
struct void_request {
    attempt_id m_attempt;
    std::uint64_t m_gate_incarnation = 0;
    std::int64_t m_gate_clock = 0; ///< As sent with the attempt; see `link_head`.
    void_scope m_scope = void_scope::not_handed_over;

    bool operator==(const void_request&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_attempt, m_gate_incarnation, m_gate_clock, m_scope);
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

/// Whether a crash report adds evidence or takes it back.
enum class crash_evidence : std::uint8_t {
    added,     ///< The connection to the upstream broke while it ran such a request.
    withdrawn, ///< Such a request was run alone since, and the upstream survived it.
};

/// Tells that a request with this fingerprint was in flight when an upstream broke off.
struct crash_report {
    std::uint64_t m_fingerprint = 0; ///< Hash of organisation, route, method, target and body.
    std::string m_strike;            ///< The upstream's run: host/endpoint/run. Counts once.
    crash_evidence m_evidence = crash_evidence::added;

    bool operator==(const crash_report&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_fingerprint, m_strike, m_evidence);
    }
};

} // namespace chivevane
