#pragma once

#include "libbase/result.h"
#include "libpolicy/gate/gate_events.h"

#include <string_view>

namespace chivevane {

/// Parses the JSON object by which an upstream announces itself. The fields endpoint, service, ip,
/// port and slots are required; warmth (cold, warm), phase (serving, draining), run and
/// time_to_live_ms are optional. A time to live outside the allowed range is clamped to it.
result<upstream_announcement> parse_announcement(std::string_view body);

} // namespace chivevane
