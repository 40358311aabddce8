#pragma once

#include "libbase/instant.h"
#include "libpolicy/health/health_state.h"

#include <optional>
#include <string_view>

namespace chivevane {

/// How long an attempt may go without an answer before its connection is suspected to be silent:
/// well above the route's recent latency and well under `timeout`. Empty while too little is known
/// of the route; the timeout alone holds then.
std::optional<duration> silence_limit(const health_state& health, std::string_view service,
                                      std::string_view route, duration timeout);

} // namespace chivevane
