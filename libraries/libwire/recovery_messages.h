#pragma once

#include "libwire/host_address.h"
#include "libwire/upstream_id.h"
#include "libwire/upstream_summary.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace chivevane {

/// What a run of an upstream last said of its phase, as remembered by other hosts than its own.
struct departure_entry {
    upstream_id m_upstream;
    std::uint64_t m_run = 0; ///< `upstream_announcement::m_run`; a later run has a greater number.
    /// `draining` if the run has left or is leaving, `serving` if it replaces a run that left.
    upstream_phase m_phase = upstream_phase::draining;
    std::uint32_t m_age_ms = 0; ///< Time since the host of the upstream learnt of it.

    bool operator==(const departure_entry&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_upstream, m_run, m_phase, m_age_ms);
    }
};

/// Reports departures of upstreams to other hosts, which remember them in case that the process
/// beside an upstream restarts.
struct departure_report {
    std::vector<departure_entry> m_departures;

    bool operator==(const departure_report&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_departures);
    }
};

/// What a host remembers of a request that crashed upstreams; see `crash_report`.
struct crash_record {
    std::uint64_t m_fingerprint = 0;
    std::vector<std::string> m_crashed_runs;
    std::uint32_t m_quarantines = 0;        ///< How often the request was quarantined.
    std::uint64_t m_quarantine_left_ms = 0; ///< Time until its quarantine ends.
    std::uint64_t m_lifetime_left_ms = 0;   ///< Time until it is forgotten.

    bool operator==(const crash_record&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_fingerprint, m_crashed_runs, m_quarantines, m_quarantine_left_ms,
                m_lifetime_left_ms);
    }
};

/// Asks a host for what it remembers on behalf of others. A process sends it after its start.
struct recovery_request {
    host_address m_address; ///< Address of the sender.

    bool operator==(const recovery_request&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_address);
    }
};

/// One part of the answer to a `recovery_request`.
struct recovery_response {
    std::uint16_t m_part = 0;   ///< Index of this part.
    std::uint16_t m_parts = 1;  ///< Number of parts of the answer.
    bool m_is_complete = false; ///< Whether the sender has finished its own recovery.
    std::vector<departure_entry> m_departures;
    std::vector<crash_record> m_crash_records;

    bool operator==(const recovery_response&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_part, m_parts, m_is_complete, m_departures, m_crash_records);
    }
};

} // namespace chivevane
