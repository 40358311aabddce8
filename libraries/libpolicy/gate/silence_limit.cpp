#include "libpolicy/gate/silence_limit.h"

#include "libpolicy/health/health.h"

#include <algorithm>

namespace chivevane {

namespace {

constexpr int latency_multiple = 3;           // Normal variation of the latency is smaller.
constexpr duration min_silence_limit = 100ms; // Scheduling delays alone reach tens of ms.

} // namespace

std::optional<duration> silence_limit(const health_state& health, std::string_view service,
                                      std::string_view route, duration timeout)
{
    const auto adaptive_timeout = health::adaptive_timeout(health, service, route, timeout);
    const auto limit = std::max(adaptive_timeout * latency_multiple, min_silence_limit);
    return limit < timeout ? std::optional{limit} : std::nullopt;
}

} // namespace chivevane
