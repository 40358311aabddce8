#pragma once

#include "libbase/instant.h"
#include "libpolicy/identifiers.h"
#include "libwire/attempt_id.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace chivevane {

/// An attempt that waits at the gate or is about to start.
struct queued_attempt {
    attempt_id m_attempt;
    std::string m_endpoint;
    std::string m_organisation; ///< document/organisation; empty on routes open to all.
    instant m_deadline;         ///< When the caller gives up.
};

/// Admission to one upstream.
struct upstream_admission {
    std::uint32_t m_slots = 1;
    std::uint32_t m_concurrency = 1; ///< Admitted at once now.
    std::uint32_t m_running = 0;
    std::deque<queued_attempt> m_queue;
};

/// Admission to all upstreams of this host.
struct admission_state {
    std::map<std::string, upstream_admission, std::less<>> m_upstreams; ///< By endpoint.
};

} // namespace chivevane
