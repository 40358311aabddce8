#pragma once

#include "libbase/instant.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chivevane {

/// Whether a route asks for a key.
enum class route_access : std::uint8_t { keyed, open_to_all };

/// Whether an idempotent request may be sent a second time while the first is late.
enum class hedging : std::uint8_t { off, on };

/// Whether the requests of a route may run more than once without harm.
enum class route_idempotence : std::uint8_t { by_method, idempotent, not_idempotent };

/// One of the services that share the requests of a route.
struct route_target {
    std::string m_service;
    double m_weight = 0; ///< Relative to the weights of the other targets.

    bool operator==(const route_target&) const = default;
};

/// Maps requests to a service.
struct route {
    std::string m_name;
    std::string m_host;                 ///< Host field to match; empty matches any.
    std::string m_path_prefix;          ///< Begins with a slash.
    std::vector<std::string> m_methods; ///< Empty matches all.
    std::string m_service;              ///< Empty if there are targets.
    route_access m_access = route_access::keyed;
    duration m_timeout = 10s;     ///< From arrival to the first byte of the answer.
    std::uint32_t m_attempts = 3; ///< First attempt and retries together.
    hedging m_hedging = hedging::off;
    std::vector<route_target> m_targets; ///< Empty if one service gets all requests.
    route_idempotence m_idempotence = route_idempotence::by_method;
    std::uint32_t m_priority = 0; ///< 0 is served first when not all can be.
    duration m_latency_target{};  ///< Within which an answer is of full use; zero if not told.

    bool operator==(const route&) const = default;
};

/// Whether `candidate` may send requests to `service`.
bool names_service(const route& candidate, std::string_view service);

} // namespace chivevane
