#pragma once

#include "libbase/instant.h"
#include "libwire/host_address.h"
#include "libwire/host_identity.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chivevane {

/// The settings that decisions depend on. The shell's own settings are elsewhere.
struct host_settings {
    host_identity m_self;
    std::string m_datacentre;
    host_address m_address;
    std::vector<host_address> m_seeds; ///< Control addresses to try when the store is away.
    std::string m_shared_secret;       ///< Authenticates hosts to each other.
    std::uint64_t m_random_seed = 1;
    duration m_shutdown_limit = 30s; ///< Longest wait for requests in progress when leaving.
};

} // namespace chivevane
