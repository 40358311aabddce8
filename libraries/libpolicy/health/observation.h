#pragma once

#include "libbase/instant.h"
#include "libwire/upstream_id.h"

#include <cstdint>
#include <string>

namespace chivevane {

/// The result of one attempt, as far as it is evidence on the upstream.
enum class observed_result : std::uint8_t {
    good,
    server_error, ///< The status is 500 to 599 and the answer is not a refusal for overload.
    corrupted,    ///< The answer is truncated or belongs to another request.
    timed_out,    ///< No answer came within the timeout derived from recent latency.
    /// The upstream's host accepted no connection; this says nothing about other hosts' paths to
    /// it.
    unreachable,
};

/// Where an attempt was observed: a gate sees the upstream alone, an ingress also the network path
/// to the upstream's host.
enum class observer : std::uint8_t { gate, ingress };

/// One finished attempt, as evidence.
struct observation {
    upstream_id m_upstream;
    std::string m_service;
    std::string m_route;
    observer m_observer = observer::gate;
    observed_result m_result = observed_result::good;
    duration m_latency{}; ///< The time from forwarding the request to the head of the answer.
};

} // namespace chivevane
