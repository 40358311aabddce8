#pragma once

#include "libbase/instant.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <utility>
#include <vector>

namespace chivevane {

/// The bytes that each connection or transfer may hold without a reservation.
constexpr std::size_t unreserved_bytes = 16 * 1024;

/// The largest reservation that may use the small-holder reserve.
constexpr std::size_t max_small_holder = 64 * 1024;

/// The bytes beyond the capacity that are kept for small holders, so that ordinary requests are
/// served while large ones fill the budget.
constexpr std::size_t small_holder_reserve = 4'000'000;

/// The time without progress after which a request body that is being received may be evicted.
constexpr duration stalled_body_time = 1s;

/// The time without progress after which an answer that its reader does not take may be evicted.
constexpr duration stalled_answer_time = 5s;

/// What a reservation may be evicted for.
enum class eviction_kind : std::uint8_t { never, stalled_body, unread_answer };

/// A holder of reserved memory as the choice of evictions sees it.
struct held_memory {
    std::uint64_t m_id = 0;
    std::size_t m_bytes = 0;
    eviction_kind m_kind = eviction_kind::never;
    instant m_last_progress;
};

/// Returns the ids of the holders to evict, in order, so that at least `needed` bytes become free:
/// first stalled bodies, then unread answers, and the largest of each first. Returns none if all of
/// them together do not hold `needed` bytes, so that no holder is evicted in vain.
std::vector<std::uint64_t> choose_evictions(std::span<const held_memory> holders,
                                            std::size_t needed, instant now);

/// Returns the capacity of the budget of a process that may use `limit_mb` MB of memory: the limit
/// less 24 MB for the process itself, and at least a quarter of the limit. Without a limit (0) the
/// capacity is 0.
std::size_t budget_capacity(std::size_t limit_mb);

/// The counters of a memory budget since the process started.
struct memory_budget_counters {
    std::uint64_t m_refused_bodies = 0;     ///< Requests refused with 503 for lack of memory.
    std::uint64_t m_evicted_bodies = 0;     ///< Stalled request bodies ended with 408.
    std::uint64_t m_unbuffered_answers = 0; ///< Answers passed on early for lack of memory.
    /// Connections closed as their reader did not take an answer while memory was short.
    std::uint64_t m_closed_readers = 0;
    /// Connections closed at a listener's connection limit.
    std::uint64_t m_closed_connections = 0;
};

/// What the budget or a connection limit did. Each event increments one counter.
enum class memory_event : std::uint8_t {
    body_refused,
    body_evicted,
    answer_unbuffered,
    reader_closed,
    connection_closed
};

/// The memory that a process may use for the bytes of its peers. Holders reserve memory through a
/// `memory_reservation` before they keep bytes. A budget without capacity never refuses.
class memory_budget {
public:
    explicit memory_budget(std::size_t capacity = 0) : m_capacity(capacity) {}
    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;

    /// Returns whether there is a capacity. Without one, nothing is counted.
    bool is_limited() const { return m_capacity != 0; }
    std::size_t capacity() const { return m_capacity; }
    std::size_t reserved() const { return m_reserved; }
    const memory_budget_counters& counters() const { return m_counters; }

    /// Counts `event` and passes it to `m_on_event`.
    void record(memory_event event);

    /// Called for each recorded event, for example to log it.
    std::function<void(memory_event)> m_on_event;

private:
    friend class memory_reservation;

    struct holder {
        std::size_t m_bytes = 0;
        eviction_kind m_kind = eviction_kind::never;
        std::function<instant()> m_last_progress;
        std::function<void()> m_evict;
    };

    bool resize(std::uint64_t id, std::size_t bytes, instant now);
    bool has_room(std::size_t before, std::size_t after) const;
    bool evict_for(std::uint64_t id, std::size_t after, instant now);
    void release(std::uint64_t id);

    std::size_t m_capacity;
    std::size_t m_reserved = 0;
    std::uint64_t m_last_id = 0;
    std::map<std::uint64_t, holder> m_holders;
    memory_budget_counters m_counters;
};

/// The bytes that one holder has reserved. They are released when the reservation is destroyed. It
/// shares ownership of the budget, since handlers that wait in an event loop may own bodies for
/// longer than the process object lives.
class memory_reservation {
public:
    memory_reservation() = default;
    explicit memory_reservation(std::shared_ptr<memory_budget> budget) : m_budget(std::move(budget))
    {
    }
    ~memory_reservation() { reset(); }
    /// The moved-from reservation is empty and keeps its budget, so that it can be used again.
    memory_reservation(memory_reservation&& other) noexcept : memory_reservation(other.m_budget)
    {
        m_id = std::exchange(other.m_id, 0);
    }
    memory_reservation& operator=(memory_reservation&& other) noexcept;

    /// Changes the reserved size. When there is no room, stalled holders are evicted if that makes
    /// room. Returns false and changes nothing if there is none. A reduction always succeeds.
    bool resize(std::size_t bytes, instant now);

    /// Releases all bytes and the terms of eviction.
    void reset();

    std::size_t size() const;

    /// Lets the budget evict this holder. `evict` must release the reservation. The terms stay
    /// until they are replaced or the reservation is reset, and have no effect on an empty
    /// reservation.
    void set_evictable(eviction_kind kind, std::function<instant()> last_progress,
                       std::function<void()> evict);

    /// Excludes this holder from eviction and removes its terms.
    void set_permanent();

private:
    std::shared_ptr<memory_budget> m_budget; ///< Null or without capacity: nothing is counted.
    std::uint64_t m_id = 0;                  ///< The holder's id; 0 while nothing is reserved.
};

} // namespace chivevane
