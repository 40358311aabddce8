#pragma once

#include "libpolicy/identifiers.h"

#include <string>

namespace chivevane {

/// An operator's statement that all processes that ever ran under a host's name have ended, so that
/// their units may be redistributed. The exchange is answered at once.
struct host_declared_dead {
    exchange_id m_exchange = 0;
    std::string m_host;

    bool operator==(const host_declared_dead&) const = default;
};

} // namespace chivevane
