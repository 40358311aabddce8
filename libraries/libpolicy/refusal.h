#pragma once

#include "libbase/instant.h"
#include "libpolicy/effect.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivevane {

/// Why a request is refused. Each kind has one status, one stable problem type and one remedy.
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
    busy,              ///< 503, the gate has no room at once; another may have
    failing,           ///< 503, the upstream has failed of late
    upstream_refused,  ///< 503, the upstream says that it did not run the request
    leaving,           ///< 503
    not_ready,         ///< 503, the host has no configuration it may rely on
    quarantined,       ///< 503
    upstream_failed,   ///< 502
    deadline_exceeded, ///< 504
};

/// Whether an upstream may have run the refused request.
enum class request_outcome : std::uint8_t { not_run, unknown };

/// A refusal before it is written as an RFC 9457 problem document.
struct refusal {
    refusal_kind m_kind;
    request_outcome m_outcome = request_outcome::not_run;
    std::optional<duration> m_retry_after;
};

/// The stable name of `kind`: the last part of the problem type.
std::string_view to_string(refusal_kind kind);

/// The kind called `name`; empty if there is none.
std::optional<refusal_kind> parse_refusal_kind(std::string_view name);

/// HTTP status of `kind` (RFC 9110 section 15).
std::uint16_t status_of(refusal_kind kind);

/// The effect that answers `exchange` with `reason` (RFC 9457).
respond make_refusal(exchange_id exchange, const refusal& reason);

} // namespace chivevane
