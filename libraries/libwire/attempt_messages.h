#pragma once

#include "libwire/attempt_id.h"

#include <cereal/types/string.hpp>
#include <cstdint>

namespace chivevane {

/// Execution status of an attempt as known to the gate that the attempt was sent to.
enum class execution_status : std::uint8_t {
    not_run,      ///< The upstream has not received the attempt and never will.
    may_have_run, ///< The attempt was sent to the upstream. For scope `not_received`, its response
                  ///< has also begun or its execution has ended.
    unknown,      ///< The gate process has restarted, or can no longer determine the status.
    in_progress,  ///< The attempt is queued at the gate, or runs and its response has not begun.
    stalled,      ///< The attempt runs on, but its response is several times later than usual and
                  ///< the circuit of its upstream is not closed.
};

/// Which attempts a `cancel_attempt_request` cancels.
enum class cancel_scope : std::uint8_t {
    not_handed_over, ///< Attempts not yet sent to the upstream, including those queued at the gate.
    not_received,    ///< Only attempts that have not reached the gate; for others it queries the
                     ///< status.
};

/// Asks a gate to cancel an attempt unless it was already sent to the upstream. The gate also
/// rejects the attempt if it arrives after this message.
struct cancel_attempt_request {
    attempt_id m_attempt;
    std::uint64_t m_gate_incarnation = 0;
    std::int64_t m_gate_clock = 0; ///< Value sent with the attempt; see `attempt_metadata`.
    cancel_scope m_scope = cancel_scope::not_handed_over;

    bool operator==(const cancel_attempt_request&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_attempt, m_gate_incarnation, m_gate_clock, m_scope);
    }
};

/// The execution status of an attempt: the response to a `cancel_attempt_request`, or sent unasked
/// when the attempt becomes stalled.
struct cancel_attempt_response {
    attempt_id m_attempt;
    std::uint64_t m_gate_incarnation = 0;
    execution_status m_status = execution_status::unknown;

    bool operator==(const cancel_attempt_response&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_attempt, m_gate_incarnation, m_status);
    }
};

/// Whether a crash report adds or withdraws evidence that a request crashes upstreams.
enum class crash_evidence : std::uint8_t {
    added,     ///< The connection to the upstream broke while it was executing such a request.
    withdrawn, ///< Such a request was later executed alone and the upstream survived it.
};

/// Reports that a request with this fingerprint was in progress when the connection to its upstream
/// broke, or withdraws such a report.
struct crash_report {
    std::uint64_t m_fingerprint = 0; ///< Hash of organisation, route, method, target and body.
    std::string m_crashed_run;       ///< Upstream process that broke the connection, as
                                     ///< host/endpoint/run. Each process counts once.
    crash_evidence m_evidence = crash_evidence::added;

    bool operator==(const crash_report&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_fingerprint, m_crashed_run, m_evidence);
    }
};

} // namespace chivevane
