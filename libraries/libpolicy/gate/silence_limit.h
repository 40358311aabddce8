#pragma once

#include "libbase/instant.h"
#include "libpolicy/health/health_state.h"

#include <optional>
#include <string_view>

namespace chivevane {

/// Time without an answer after which the connection of an attempt is suspected to be dead: a
/// multiple of the route's adaptive timeout. Empty when that is not shorter than `timeout`, as for
/// a route with too few samples; then only the timeout applies.
std::optional<duration> silence_limit(const health_state& health, std::string_view service,
                                      std::string_view route, duration timeout);

} // namespace chivevane
