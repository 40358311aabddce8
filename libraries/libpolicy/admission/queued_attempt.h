#pragma once

#include "libbase/instant.h"
#include "libwire/attempt_id.h"

#include <string>

namespace chivevane {

/// An attempt that waits at the gate or is about to start.
struct queued_attempt {
    attempt_id m_attempt;
    std::string m_endpoint;
    std::string m_organisation; ///< document/organisation; empty on routes open to all.
    instant m_deadline;         ///< When the caller gives up.
};

} // namespace chivevane
