#pragma once

#include "libbase/instant.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chivevane {

/// Whether a route asks for a key.
enum class route_access : std::uint8_t { keyed, open_to_all };

/// Whether an idempotent request may be sent a second time while the first is late.
enum class hedging : std::uint8_t { off, on };

/// Maps requests to a service.
struct route {
    std::string m_name;
    std::string m_host;                 ///< Host field to match; empty matches any.
    std::string m_path_prefix;          ///< Begins with a slash.
    std::vector<std::string> m_methods; ///< Empty matches all.
    std::string m_service;
    route_access m_access = route_access::keyed;
    duration m_timeout = 10s;     ///< From arrival to the first byte of the answer.
    std::uint32_t m_attempts = 3; ///< First attempt and retries together.
    hedging m_hedging = hedging::off;

    bool operator==(const route&) const = default;
};

} // namespace chivevane
