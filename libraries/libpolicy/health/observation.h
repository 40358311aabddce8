#pragma once

#include "libbase/instant.h"
#include "libwire/upstream_id.h"

#include <cstdint>
#include <string>

namespace chivevane {

/// How one attempt went, as far as it tells about the upstream.
enum class observed_result : std::uint8_t {
    good,
    server_error, ///< Status 500 to 599, not a refusal on load.
    wrong,        ///< Truncated, or the echo of another request.
    timed_out,    ///< No answer within the deadline from recent latency.
    unreachable,  ///< No connection to its host: a private view of this host.
};

/// Which side of the path saw it: a gate sees the upstream, an ingress the way there as well.
enum class observer : std::uint8_t { gate, ingress };

/// One finished attempt, as evidence.
struct observation {
    upstream_id m_upstream;
    std::string m_service;
    std::string m_route;
    observer m_observer = observer::gate;
    observed_result m_result = observed_result::good;
    duration m_latency{}; ///< From hand-over to the head of the answer.
};

} // namespace chivevane
