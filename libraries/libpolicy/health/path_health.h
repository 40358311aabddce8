#pragma once

#include "libbase/instant.h"
#include "libpolicy/health/observation.h"

#include <cstdint>
#include <map>

namespace chivevane::health {

/// Recent failures on the network path from this host to one upstream.
struct path_record {
    std::uint32_t m_failure_points = 0; ///< Points for failures since an answer last came through.
    instant m_failed_at;                ///< When the last failure was observed.
    duration m_backoff{};               ///< How long the current or last avoidance lasts.
    instant m_avoided_until;
};

/// The paths from this host to upstreams that it recently failed to reach, though other hosts may
/// reach them. Hosts do not share this state.
struct path_health {
    std::map<upstream_id, path_record> m_paths; ///< Only paths with recent failures.
};

/// Adds an observation of this host's ingress.
void record_observation(path_health& paths, const observation& seen, instant now);

/// Whether this host sends no requests to `upstream` at `now`.
bool is_avoided(const path_health& paths, const upstream_id& upstream, instant now);

/// Erases the records of paths whose last failure is long past.
void erase_expired(path_health& paths, instant now);

} // namespace chivevane::health
