#pragma once

#include "libbase/instant.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivevane::ingress {

/// What the priority of a request at gates depends on.
struct priority_input {
    std::uint32_t m_configured = 0; ///< Of the organisation or the route; 0 is the most urgent.
    std::string_view
        m_organisation;      ///< Empty for requests that need no key, as calls of upstreams.
    std::string_view m_host; ///< The host of the ingress.
    instant m_now;
    /// Priority of the route, if it ranks requests of the same configured priority.
    std::optional<std::uint32_t> m_route = std::nullopt;
};

/// Returns the priority with which gates queue a request; 0 is the most urgent.
///
/// Of equally urgent requests, those without an organisation come first: they are mostly calls that
/// upstreams make while they run other requests. Calls of one host have the same class, and the
/// classes change hands. A request that needs several calls of an overloaded service fails if one
/// of them is refused. With classes, all calls of a host are served or refused together, so that
/// the service does not work on calls whose request fails in any case. Compare admission control by
/// user in "Overload Control for Scaling WeChat Microservices" (2018).
std::uint32_t request_priority(const priority_input& input);

} // namespace chivevane::ingress
