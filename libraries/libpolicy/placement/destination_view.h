#pragma once

#include "libbase/instant.h"
#include "libwire/upstream_id.h"

#include <cstdint>
#include <map>

namespace chivevane {

/// What this host learned of one upstream from the latest answers of its gate.
struct destination_record {
    instant m_busy_until;              ///< It had no free room of late.
    instant m_full_until;              ///< It refused to let an attempt wait.
    std::uint32_t m_full_priority = 0; ///< Of that attempt; more urgent ones may still wait.
    instant m_failing_until;           ///< Its gate refuses work as it fails.
    instant m_unreachable_until;       ///< No connection to its gate could be made.
    duration m_unreachable_stay{};
    double m_load = 0; ///< Running and waiting attempts for each slot.
    instant m_load_at;
};

/// What this host learned of the upstreams that it sends work to.
struct destination_view {
    std::map<upstream_id, destination_record> m_records;
};

} // namespace chivevane

namespace chivevane::placement {

/// The gate told its load.
void note_load(destination_view& view, const upstream_id& upstream, double load, instant now);

/// The gate had no room. One in another data centre is asked less often.
enum class gate_distance : std::uint8_t { near, far };
void note_busy(destination_view& view, const upstream_id& upstream, gate_distance distance,
               instant now);

/// The gate refused to let an attempt of this priority wait.
void note_full(destination_view& view, const upstream_id& upstream, gate_distance distance,
               std::uint32_t priority, instant now);

/// The gate refused as its upstream fails.
void note_failing(destination_view& view, const upstream_id& upstream, instant now);

/// The gate could not be reached.
void note_unreachable(destination_view& view, const upstream_id& upstream, instant now);

/// The gate answered.
void note_answer(destination_view& view, const upstream_id& upstream);

/// The record of `upstream`; an empty one if nothing is known.
destination_record record_of(const destination_view& view, const upstream_id& upstream);

} // namespace chivevane::placement
