#pragma once

#include "libbase/instant.h"
#include "libwire/upstream_id.h"

#include <cstdint>
#include <map>

namespace chivevane {

/// What this host knows of one upstream from the latest answers of its gate.
struct destination_record {
    /// Until then the upstream is assumed to have no free slot.
    instant m_busy_until;

    /// Until then its gate is assumed to queue no attempt of `m_full_priority` or less urgent.
    instant m_full_until;

    /// The most urgent priority (lowest number) of the attempts that the gate refused to queue.
    /// More urgent attempts may still be queued.
    std::uint32_t m_full_priority = 0;

    /// Until then its gate is assumed to refuse attempts because the circuit of the upstream is
    /// open.
    instant m_circuit_open_until;

    /// When its gate last refused an attempt because the circuit was open.
    instant m_circuit_seen_open_at = instant::min();

    /// Until then no connection to its gate is tried if another upstream is reachable.
    instant m_unreachable_until;

    /// The latest backoff after a failed connection; zero once the gate has answered.
    duration m_unreachable_backoff{};

    /// Running and queued attempts for each slot, as of `m_load_updated_at`.
    double m_load = 0;
    instant m_load_updated_at = instant::min();
};

/// What this host knows of the upstreams that it sends attempts to.
struct destination_records {
    std::map<upstream_id, destination_record> m_records;
};

} // namespace chivevane

namespace chivevane::placement {

/// Records the load that a gate reported: running and queued attempts for each slot.
void record_load(destination_records& records, const upstream_id& upstream, double load,
                 instant now);

/// Whether a gate is in the data centre of this host or in another one.
enum class gate_datacentre : std::uint8_t { own, other };

/// Records that the gate had no free slot. A gate in another data centre is avoided for longer.
void record_busy(destination_records& records, const upstream_id& upstream,
                 gate_datacentre datacentre, instant now);

/// Records that the gate refused to queue an attempt of this priority.
void record_full_queue(destination_records& records, const upstream_id& upstream,
                       gate_datacentre datacentre, std::uint32_t priority, instant now);

/// Records that the gate refused an attempt because the circuit of its upstream is open.
void record_open_circuit(destination_records& records, const upstream_id& upstream, instant now);

/// Records that no connection to the gate could be made. The backoff doubles with each failure.
void record_unreachable(destination_records& records, const upstream_id& upstream, instant now);

/// Records that the gate answered, which resets the backoff.
void record_answer(destination_records& records, const upstream_id& upstream);

/// Returns the record of `upstream`, or an empty one if nothing is known.
destination_record find_record(const destination_records& records, const upstream_id& upstream);

} // namespace chivevane::placement
