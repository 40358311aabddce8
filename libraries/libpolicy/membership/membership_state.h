#pragma once

#include "libbase/instant.h"
#include "libpolicy/membership/member.h"

#include <functional>
#include <map>
#include <string>

namespace chivevane {

/// All hosts that this host knows, itself included.
struct membership_state {
    heartbeat m_self;
    std::map<std::string, member, std::less<>> m_members; ///< By host name; includes this host.
    instant m_next_heartbeat;
};

} // namespace chivevane
