#pragma once

#include "libwire/upstream_id.h"

#include <set>

namespace chivevane {

/// Evidence on all upstreams and the verdicts drawn from it.
struct health_state {
    std::set<upstream_id> m_ejected;
};

} // namespace chivevane
