#pragma once

#include "libbase/result.h"
#include "libpolicy/gate/gate_events.h"

#include <string_view>

namespace chivevane {

/// Reads the JSON object by which an upstream announces itself: endpoint, service, ip, port, slots,
/// and optionally warmth (cold, warm), phase (serving, draining), run, time_to_live_ms.
result<upstream_announced> parse_announcement(std::string_view body);

} // namespace chivevane
