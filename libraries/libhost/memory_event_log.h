#pragma once

#include "libbase/instant.h"
#include "libhttp/memory_budget.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace chivevane {

/// Counts the memory events that were not logged yet. A log line is allowed for each kind of event
/// once in a second, so that a flood of refusals does not displace other lines.
struct memory_event_log {
    struct entry {
        std::optional<instant> m_logged_at;
        std::uint64_t m_unlogged = 0;
    };
    std::array<entry, 5> m_entries; ///< By `memory_event`.
};

/// Returns the name of the log line of an event.
std::string_view name_of(memory_event event);

/// Counts an event. Returns the number of events that the log line to write now stands for, or 0 if
/// no line may be written yet.
std::uint64_t count_memory_event(memory_event_log& log, memory_event event, instant now);

} // namespace chivevane
