#pragma once

#include "libbase/instant.h"
#include "libpolicy/effect.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivevane {

/// The reason why a request is refused. Each has one HTTP status, one stable problem type and one
/// text that tells the client what to do.
enum class refusal_kind : std::uint8_t {
    malformed_request, ///< 400
    key_missing,       ///< 401
    key_unknown,       ///< 401
    route_forbidden,   ///< 403
    no_route,          ///< 404
    request_timeout,   ///< 408
    body_too_large,    ///< 413
    rate_exceeded,     ///< 429
    no_upstream,       ///< 503
    overloaded,        ///< 503
    busy,              ///< 503; the gate has no free slot, but another gate may have one
    circuit_open,      ///< 503; the circuit of the upstream is open after recent failures
    upstream_refused,  ///< 503; the upstream answered that it did not run the request
    unreachable,       ///< 503; no connection to an upstream or its host could be made
    leaving,           ///< 503
    not_ready,         ///< 503; the host's documents are missing or unconfirmed for too long
    quarantined,       ///< 503; earlier runs of the request crashed upstreams
    upstream_failed,   ///< 502
    deadline_exceeded, ///< 504
};

/// Whether an upstream may have run the refused request.
enum class request_outcome : std::uint8_t { not_run, unknown };

/// A refusal, which `make_refusal` writes as a problem document (RFC 9457).
struct refusal {
    refusal_kind m_kind;
    request_outcome m_outcome = request_outcome::not_run;
    std::optional<duration> m_retry_after;
};

/// Returns the stable name of `kind`, which is the last part of the problem type.
std::string_view to_string(refusal_kind kind);

/// Returns the kind called `name`, or nothing if there is none.
std::optional<refusal_kind> parse_refusal_kind(std::string_view name);

/// Returns the HTTP status of `kind` (RFC 9110 section 15).
std::uint16_t status_of(refusal_kind kind);

/// Returns the effect that answers `exchange` with the problem document for `reason` (RFC 9457).
respond make_refusal(exchange_id exchange, const refusal& reason);

} // namespace chivevane
