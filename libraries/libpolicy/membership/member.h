#pragma once

#include "libbase/instant.h"
#include "libwire/membership_messages.h"

namespace chivevane {

/// What this host knows of another host, or of itself.
struct member {
    heartbeat m_latest; ///< Its latest account of itself.
    member_status m_status = member_status::alive;
    instant m_heard_at; ///< When this host last heard it.
};

} // namespace chivevane
