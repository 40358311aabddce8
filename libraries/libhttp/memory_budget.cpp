#include "libhttp/memory_budget.h"

#include <algorithm>

namespace chivevane {

namespace {

constexpr std::size_t megabyte = 1'000'000;

/// The memory of the process without the bytes of its peers: code, heap and socket state.
constexpr std::size_t process_megabytes = 24;

bool is_evictable(const held_memory& holder, instant now)
{
    switch (holder.m_kind) {
    case eviction_kind::stalled_body:
        return now - holder.m_last_progress >= stalled_body_time;
    case eviction_kind::unread_answer:
        return now - holder.m_last_progress >= stalled_answer_time;
    case eviction_kind::never:
        break;
    }
    return false;
}

} // namespace

std::vector<std::uint64_t> choose_evictions(std::span<const held_memory> holders,
                                            std::size_t needed, instant now)
{
    std::vector<held_memory> candidates;
    std::copy_if(holders.begin(), holders.end(), std::back_inserter(candidates),
                 [now](const held_memory& holder) { return is_evictable(holder, now); });
    std::sort(candidates.begin(), candidates.end(),
              [](const held_memory& left, const held_memory& right) {
                  return left.m_kind != right.m_kind ? left.m_kind < right.m_kind
                                                     : left.m_bytes > right.m_bytes;
              });
    std::vector<std::uint64_t> chosen;
    std::size_t freed = 0;
    for (const auto& candidate : candidates) {
        if (freed >= needed) {
            break;
        }
        chosen.push_back(candidate.m_id);
        freed += candidate.m_bytes;
    }
    return freed >= needed ? chosen : std::vector<std::uint64_t>{};
}

std::size_t budget_capacity(std::size_t limit_mb)
{
    const auto rest = limit_mb > process_megabytes ? limit_mb - process_megabytes : 0;
    return std::max(rest * megabyte, limit_mb * megabyte / 4);
}

void memory_budget::record(memory_event event)
{
    switch (event) {
    case memory_event::body_refused:
        ++m_counters.m_refused_bodies;
        break;
    case memory_event::body_evicted:
        ++m_counters.m_evicted_bodies;
        break;
    case memory_event::answer_unbuffered:
        ++m_counters.m_unbuffered_answers;
        break;
    case memory_event::reader_closed:
        ++m_counters.m_closed_readers;
        break;
    case memory_event::connection_closed:
        ++m_counters.m_closed_connections;
        break;
    }
    if (m_on_event) {
        m_on_event(event);
    }
}

bool memory_budget::resize(std::uint64_t id, std::size_t bytes, instant now)
{
    if (!has_room(m_holders.at(id).m_bytes, bytes) && !evict_for(id, bytes, now)) {
        return false;
    }
    auto& before = m_holders.at(id).m_bytes;
    m_reserved = m_reserved - before + bytes;
    before = bytes;
    return true;
}

bool memory_budget::has_room(std::size_t before, std::size_t after) const
{
    const auto limit = m_capacity + (after <= max_small_holder ? small_holder_reserve : 0);
    return after <= before || m_reserved - before + after <= limit;
}

/// Evicts stalled holders so that the holder `id` can have `after` bytes. Returns whether it can.
bool memory_budget::evict_for(std::uint64_t id, std::size_t after, instant now)
{
    const auto before = m_holders.at(id).m_bytes;
    const auto limit = m_capacity + (after <= max_small_holder ? small_holder_reserve : 0);
    std::vector<held_memory> holders;
    for (const auto& [each, entry] : m_holders) {
        if (each != id && entry.m_kind != eviction_kind::never) {
            holders.push_back({each, entry.m_bytes, entry.m_kind, entry.m_last_progress()});
        }
    }
    for (const auto victim : choose_evictions(holders, m_reserved - before + after - limit, now)) {
        const auto found = m_holders.find(victim);
        if (found == m_holders.end()) {
            continue;
        }
        const auto kind = found->second.m_kind;
        const auto evict = found->second.m_evict; // The call removes the holder.
        evict();
        record(kind == eviction_kind::stalled_body ? memory_event::body_evicted
                                                   : memory_event::reader_closed);
    }
    const auto self = m_holders.find(id); // An eviction may have ended this holder as well.
    return self != m_holders.end() && has_room(self->second.m_bytes, after);
}

void memory_budget::release(std::uint64_t id)
{
    const auto found = m_holders.find(id);
    if (found == m_holders.end()) {
        return; // The holder ended while others were evicted for it.
    }
    m_reserved -= found->second.m_bytes;
    m_holders.erase(found);
}

memory_reservation& memory_reservation::operator=(memory_reservation&& other) noexcept
{
    if (this != &other) {
        reset();
        m_budget = other.m_budget;
        m_id = std::exchange(other.m_id, 0);
    }
    return *this;
}

bool memory_reservation::resize(std::size_t bytes, instant now)
{
    if (m_budget == nullptr || !m_budget->is_limited()) {
        return true;
    }
    const bool is_new = m_id == 0;
    if (is_new) {
        if (bytes == 0) {
            return true;
        }
        m_id = ++m_budget->m_last_id;
        m_budget->m_holders[m_id] = {};
    }
    const bool has_changed = m_budget->resize(m_id, bytes, now);
    if (!has_changed && is_new) {
        reset();
    }
    return has_changed;
}

void memory_reservation::reset()
{
    if (const auto id = std::exchange(m_id, 0); id != 0) {
        m_budget->release(id);
    }
}

std::size_t memory_reservation::size() const
{
    return m_id == 0 ? 0 : m_budget->m_holders.at(m_id).m_bytes;
}

void memory_reservation::set_evictable(eviction_kind kind, std::function<instant()> last_progress,
                                       std::function<void()> evict)
{
    if (m_id != 0) {
        auto& entry = m_budget->m_holders.at(m_id);
        entry.m_kind = kind;
        entry.m_last_progress = std::move(last_progress);
        entry.m_evict = std::move(evict);
    }
}

void memory_reservation::set_permanent()
{
    if (m_id != 0) {
        auto& entry = m_budget->m_holders.at(m_id);
        entry = {entry.m_bytes};
    }
}

} // namespace chivevane
