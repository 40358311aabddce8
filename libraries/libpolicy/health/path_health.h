#pragma once

#include "libbase/instant.h"
#include "libpolicy/health/observation.h"

#include <cstdint>
#include <map>

namespace chivevane::health {

/// What this host alone knows of its way to one upstream.
struct path_record {
    std::uint32_t m_trouble = 0; ///< Points since the last good answer.
    instant m_troubled_at;
    duration m_stay{};
    instant m_avoided_until;
};

/// This host's private view: upstreams that it cannot reach though others may.
struct path_view {
    std::map<upstream_id, path_record> m_paths; ///< Only those with trouble.
};

/// Adds what the ingress of this host saw.
void observe(path_view& view, const observation& seen, instant now);

/// Whether this host should not send work to `upstream` for now.
bool is_avoided(const path_view& view, const upstream_id& upstream, instant now);

/// Forgets trouble that is long past.
void forget_old(path_view& view, instant now);

} // namespace chivevane::health
