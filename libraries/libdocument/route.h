#pragma once

#include "libbase/instant.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chivevane {

/// Whether a route requires an API key.
enum class route_access : std::uint8_t { keyed, open_to_all };

/// Whether an idempotent request may be sent a second time while the first attempt is slow.
enum class hedging : std::uint8_t { off, on };

/// Whether the requests of a route may run more than once without harm. With `by_method` the HTTP
/// method decides.
enum class route_idempotence : std::uint8_t { by_method, idempotent, not_idempotent };

/// One of the weighted services that share the requests of a route.
struct route_target {
    std::string m_service;
    double m_weight = 0; ///< The weight relative to the other targets.

    bool operator==(const route_target&) const = default;
};

/// Maps requests to a service.
struct route {
    std::string m_name;
    std::string m_host;                 ///< The Host field to match; if empty, any host matches.
    std::string m_path_prefix;          ///< The path prefix to match, which begins with a slash.
    std::vector<std::string> m_methods; ///< The methods to match; if empty, all match.
    std::string m_service; ///< The service that gets the requests; empty if there are targets.
    route_access m_access = route_access::keyed;
    duration m_timeout = 10s;     ///< The time from arrival to the first byte of the response.
    std::uint32_t m_attempts = 3; ///< The limit on attempts, the first one included.
    hedging m_hedging = hedging::off;
    std::vector<route_target> m_targets; ///< The weighted targets; empty if `m_service` is set.
    route_idempotence m_idempotence = route_idempotence::by_method;
    std::uint32_t m_priority = 0; ///< Under overload, requests of priority 0 are served first.
    duration m_latency_target{};  ///< A response is of full use within this time. Zero means unset.

    bool operator==(const route&) const = default;
};

/// Returns whether `candidate` sends requests to `service`, as its single service or as a target.
bool names_service(const route& candidate, std::string_view service);

} // namespace chivevane
