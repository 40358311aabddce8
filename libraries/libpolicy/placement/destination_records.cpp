#include "libpolicy/placement/destination_records.h"

#include <algorithm>
#include <cstddef>

namespace chivevane::placement {

namespace {

constexpr duration other_datacentre_busy_duration = 250ms;
constexpr duration own_datacentre_busy_duration = 60ms; ///< Short requests take about this long.

/// A queue that is too long stays so for about as long as a request runs. Gates in other data
/// centres are avoided for longer, as asking them is expensive.
constexpr duration own_datacentre_full_duration = 150ms;
constexpr duration other_datacentre_full_duration = 400ms;

constexpr duration circuit_open_duration = 300ms; ///< A gate tries its upstream again after 400 ms.
constexpr duration min_unreachable_backoff = 500ms;
constexpr duration max_unreachable_backoff = 2s;
constexpr std::size_t max_records = 4096; ///< One host sends attempts to fewer upstreams than this.

/// Returns the record of `upstream`, which it adds if there is none.
destination_record& find_or_add_record(destination_records& records, const upstream_id& upstream)
{
    if (records.m_records.size() >= max_records && !records.m_records.contains(upstream)) {
        records.m_records.clear(); // The next answers fill the records again.
    }
    return records.m_records[upstream];
}

} // namespace

void record_load(destination_records& records, const upstream_id& upstream, double load,
                 instant now)
{
    auto& record = find_or_add_record(records, upstream);
    record.m_load = load;
    record.m_load_updated_at = now;
}

void record_busy(destination_records& records, const upstream_id& upstream,
                 gate_datacentre datacentre, instant now)
{
    const auto busy_duration = datacentre == gate_datacentre::own ? own_datacentre_busy_duration
                                                                  : other_datacentre_busy_duration;
    find_or_add_record(records, upstream).m_busy_until = now + busy_duration;
}

void record_full_queue(destination_records& records, const upstream_id& upstream,
                       gate_datacentre datacentre, std::uint32_t priority, instant now)
{
    auto& record = find_or_add_record(records, upstream);
    const bool is_still_full = now < record.m_full_until;
    record.m_full_priority = is_still_full ? std::min(record.m_full_priority, priority) : priority;
    record.m_full_until =
        now + (datacentre == gate_datacentre::own ? own_datacentre_full_duration
                                                  : other_datacentre_full_duration);
}

void record_open_circuit(destination_records& records, const upstream_id& upstream, instant now)
{
    auto& record = find_or_add_record(records, upstream);
    record.m_circuit_open_until = now + circuit_open_duration;
    record.m_circuit_seen_open_at = now;
}

void record_unreachable(destination_records& records, const upstream_id& upstream, instant now)
{
    auto& record = find_or_add_record(records, upstream);
    record.m_unreachable_backoff = std::clamp<duration>(
        record.m_unreachable_backoff * 2, min_unreachable_backoff, max_unreachable_backoff);
    record.m_unreachable_until = now + record.m_unreachable_backoff;
}

void record_answer(destination_records& records, const upstream_id& upstream)
{
    if (const auto found = records.m_records.find(upstream); found != records.m_records.end()) {
        found->second.m_unreachable_until = {};
        found->second.m_unreachable_backoff = {};
    }
}

destination_record find_record(const destination_records& records, const upstream_id& upstream)
{
    const auto found = records.m_records.find(upstream);
    return found == records.m_records.end() ? destination_record{} : found->second;
}

} // namespace chivevane::placement
