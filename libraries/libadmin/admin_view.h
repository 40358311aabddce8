#pragma once

#include "libadmin/host_counters.h"
#include "libadmin/timeline.h"
#include "libpolicy/host_state.h"

#include <string_view>

namespace chivevane {

/// The state of the host that the administration API reads, and the token it authenticates with.
struct admin_view {
    const host_state& m_host_state;
    const timeline& m_timeline;
    const host_counters& m_counters;
    std::string_view m_operator_token;
    instant m_now;
};

} // namespace chivevane
