#include "libpolicy/placement/destination_view.h"

#include <algorithm>
#include <cstddef>

namespace chivevane::placement {

namespace {

constexpr duration far_busy_stay = 250ms;
constexpr duration busy_stay = 60ms; ///< About as long as short work takes.

/// A queue that is too long stays so for about as long as a run takes; far ones are dear to ask.
constexpr duration full_stay = 150ms;
constexpr duration far_full_stay = 400ms;

constexpr duration failing_stay = 300ms; ///< A gate tries its upstream again after 400 ms.
constexpr duration first_unreachable_stay = 500ms;
constexpr duration longest_unreachable_stay = 2s;
constexpr std::size_t max_records = 4096; ///< More upstreams than one host sends work to.

destination_record& touch(destination_view& view, const upstream_id& upstream)
{
    if (view.m_records.size() >= max_records && !view.m_records.contains(upstream)) {
        view.m_records.clear(); // They are learned anew with the next answers.
    }
    return view.m_records[upstream];
}

} // namespace

void note_load(destination_view& view, const upstream_id& upstream, double load, instant now)
{
    auto& record = touch(view, upstream);
    record.m_load = load;
    record.m_load_at = now;
}

void note_busy(destination_view& view, const upstream_id& upstream, gate_distance distance,
               instant now)
{
    const auto stay = distance == gate_distance::near ? busy_stay : far_busy_stay;
    touch(view, upstream).m_busy_until = now + stay;
}

void note_full(destination_view& view, const upstream_id& upstream, gate_distance distance,
               std::uint32_t priority, instant now)
{
    auto& record = touch(view, upstream);
    const bool is_known = now < record.m_full_until;
    record.m_full_priority = is_known ? std::min(record.m_full_priority, priority) : priority;
    record.m_full_until = now + (distance == gate_distance::near ? full_stay : far_full_stay);
}

void note_failing(destination_view& view, const upstream_id& upstream, instant now)
{
    touch(view, upstream).m_failing_until = now + failing_stay;
}

void note_unreachable(destination_view& view, const upstream_id& upstream, instant now)
{
    auto& record = touch(view, upstream);
    record.m_unreachable_stay = std::clamp<duration>(
        record.m_unreachable_stay * 2, first_unreachable_stay, longest_unreachable_stay);
    record.m_unreachable_until = now + record.m_unreachable_stay;
}

void note_answer(destination_view& view, const upstream_id& upstream)
{
    if (const auto found = view.m_records.find(upstream); found != view.m_records.end()) {
        found->second.m_unreachable_until = {};
        found->second.m_unreachable_stay = {};
    }
}

destination_record record_of(const destination_view& view, const upstream_id& upstream)
{
    const auto found = view.m_records.find(upstream);
    return found == view.m_records.end() ? destination_record{} : found->second;
}

} // namespace chivevane::placement
