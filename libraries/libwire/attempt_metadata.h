#pragma once

#include "libbase/instant.h"
#include "libbase/result.h"
#include "libwire/attempt_id.h"
#include "libwire/request_head.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace chivevane {

/// Whether the gate may execute an attempt again after the upstream may have executed it. With
/// `by_method`, the idempotence of the HTTP method decides.
enum class repeat_permission : std::uint8_t { by_method, allowed, forbidden };

/// Whether the gate queues an attempt while its upstream is at its concurrency limit.
enum class queueing_permission : std::uint8_t {
    allowed,  ///< The gate queues the attempt as long as a response in time is possible.
    forbidden ///< The gate refuses the attempt, since another upstream may have capacity.
};

/// Whether a gate may refuse an attempt because the circuit breaker of its upstream is open.
enum class circuit_breaker_mode : std::uint8_t {
    enforce, ///< The gate refuses the attempt while the circuit breaker is open.
    bypass   ///< The gate executes the attempt despite an open circuit breaker.
};

/// Metadata of an attempt that an ingress sends to a gate, in header fields called `Chivevane-*`.
/// Names in it contain no spaces.
struct attempt_metadata {
    attempt_id m_attempt;
    std::uint64_t m_gate_incarnation = 0; ///< Incarnation of the gate process that the attempt is
                                          ///< addressed to.
    std::string m_endpoint;
    std::string m_service;
    std::string m_route;
    std::string m_document;
    std::string m_organisation;      ///< Empty on routes that require no organisation.
    std::uint64_t m_revision = 0;    ///< Revision of the document that the ingress applied.
    std::uint64_t m_fingerprint = 0; ///< Hash of the request, as in `crash_report`.
    std::chrono::milliseconds m_timeout_left{}; ///< Time left until the caller's deadline.
    /// Time left until the latency target of the request; at most `m_timeout_left`. A response
    /// after the target is less useful to the caller.
    std::chrono::milliseconds m_latency_target_left{};
    std::int64_t m_gate_clock = 0; ///< Latest clock value received from the gate, by the gate's
                                   ///< own clock, in microseconds; 0 if the ingress has none.
    repeat_permission m_repeat = repeat_permission::by_method;
    queueing_permission m_queueing = queueing_permission::allowed;
    circuit_breaker_mode m_circuit_breaker_mode = circuit_breaker_mode::enforce;
    std::uint32_t m_priority = 0; ///< Lower values are served first.
    std::string m_crashed_run;    ///< Upstream process that broke the connection during an earlier
                                  ///< attempt of this request, or empty; see `crash_report`.

    bool operator==(const attempt_metadata&) const = default;
};

/// Prefix of the names of header fields that are reserved for use between hosts.
constexpr std::string_view internal_field_prefix = "Chivevane-";

/// Field that carries the attempt id in a request to a gate and in the response of the gate.
constexpr std::string_view attempt_field = "Chivevane-Attempt";

/// Field of a gate's response that states whether the attempt was executed: `not-run` or `run`.
constexpr std::string_view execution_status_field = "Chivevane-Fate";

/// Field of a gate's refusal that names the reason.
constexpr std::string_view reason_field = "Chivevane-Reason";

/// Field of a gate's response `not-run` to an attempt without a clock reading: the gate runs no
/// late copy of it either. Earlier builds do not send the field.
constexpr std::string_view final_refusal_field = "Chivevane-Final";

/// Field of a gate's response that carries the gate's own clock in microseconds.
constexpr std::string_view gate_clock_field = "Chivevane-Gate-Clock";

/// Field that identifies the upstream process that broke the connection during the request, in a
/// gate's refusal and in a request to a gate.
constexpr std::string_view crashed_run_field = "Chivevane-Strike";

/// Field of a gate's response that carries the load of the upstream as `running/slots/queued`.
constexpr std::string_view load_field = "Chivevane-Load";

/// Adds the fields that carry `metadata` to `head`. An HMAC keyed with `secret` signs them together
/// with the method, the target and `body_hash`.
void add_attempt_metadata(request_head& head, const attempt_metadata& metadata,
                          std::uint64_t body_hash, std::string_view secret);

/// Verifies the signature and parses the fields. Fails with `unauthenticated` if the signature does
/// not match, and with `malformed` if a field is missing or invalid.
result<attempt_metadata> parse_attempt_metadata(const request_head& head, std::uint64_t body_hash,
                                                std::string_view secret);

/// Removes all fields whose name begins with `internal_field_prefix`.
void remove_internal_fields(std::vector<http_field>& fields);

} // namespace chivevane
