#pragma once

#include "libbase/instant.h"
#include "libwire/host_address.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chivevane {

/// The store operation of the registration that is in progress.
enum class registration_step : std::uint8_t { idle, reading, granting, writing, renewing };

/// Another host as it is registered in the store.
struct registered_host {
    std::string m_name;
    host_address m_address;
    std::string m_datacentre; ///< Empty if a build wrote the entry that does not state it.
};

/// State of this host's entry in the store. New hosts find peers by these entries; nothing else
/// depends on them.
struct registration_state {
    registration_step m_step = registration_step::idle;
    std::uint64_t m_lease = 0;       ///< Lease id; 0 while there is none.
    std::uint64_t m_key_version = 0; ///< Last known store version of this host's key.
    bool m_is_registered = false;    ///< The key was written under `m_lease`.
    bool m_has_read_hosts = false;   ///< The list of hosts was read at least once.
    bool m_is_ended = false;         ///< The host leaves; no further calls are made.
    bool m_is_call_outdated = false; ///< The store came back older since the call was made.
    std::uint64_t m_store_era = 0;   ///< Latest known era of the store; 0 until a return is known.
    instant m_next_call;             ///< Time of the next call, unless a read is due before it.
    instant m_next_read;             ///< Time of the next read of the list of hosts.
    instant m_last_read_at;          ///< When the list of hosts was last read.
    std::uint32_t m_failures = 0;    ///< Number of consecutive failed calls.
    std::uint32_t m_reads_without_peers = 0;   ///< Number of consecutive reads without a live peer.
    std::vector<registered_host> m_registered; ///< In the last read, except this host.
};

} // namespace chivevane
