#pragma once

#include "libbase/instant.h"
#include "libwire/attempt_id.h"
#include "libwire/attempt_metadata.h"

#include <cstdint>
#include <string>

namespace chivevane {

/// Attempt that is offered to admission or queued by it.
struct queued_attempt {
    attempt_id m_attempt;
    std::string m_endpoint;
    std::string m_organisation;        ///< As document/organisation; empty on routes open to all.
    instant m_deadline;                ///< Time at which the caller gives up.
    instant m_target = instant::max(); ///< Time after which an answer misses its latency target.
    duration m_expected_run{};    ///< Mean latency of its route on this upstream; zero if unknown.
    std::uint32_t m_priority = 0; ///< 0 is the most urgent.
    queueing_permission m_queueing = queueing_permission::allowed;
};

} // namespace chivevane
