#pragma once

#include "libbase/instant.h"
#include "libwire/host_address.h"

#include <cstdint>
#include <vector>

namespace chivevane {

/// The store operation of the registration that is under way.
enum class registration_step : std::uint8_t { idle, reading, granting, writing, renewing };

/// This host's entry in the store, by which new hosts find peers. Nothing depends on it otherwise.
struct registration_state {
    registration_step m_step = registration_step::idle;
    std::uint64_t m_lease = 0;       ///< 0 while there is none.
    std::uint64_t m_key_version = 0; ///< Store version of this host's key as last seen.
    bool m_is_written = false;       ///< The key is there under `m_lease`.
    bool m_is_read = false;          ///< The list of hosts was read once.
    bool m_is_over = false;          ///< The host is leaving.
    instant m_next_call;
    instant m_next_read;
    std::uint32_t m_failures = 0;           ///< Failed calls in a row.
    std::uint32_t m_lonely_reads = 0;       ///< Reads in a row without a live peer.
    std::vector<host_address> m_candidates; ///< Addresses of the last read, without this host's.
};

} // namespace chivevane
