#pragma once

#include "libpolicy/effect.h"
#include "libwire/hybrid_time.h"

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace chivevane {

/// One event of a host: its time, the host, the name of the event and its fields.
struct timeline_entry {
    hybrid_time m_at;
    std::string m_host;
    std::string m_name;
    std::vector<event_field> m_fields;

    bool operator==(const timeline_entry&) const = default;
};

/// The latest events of one host. When the timeline is full, a new event replaces the oldest one.
struct timeline {
    std::size_t m_capacity = 4096; ///< The maximum number of entries.
    std::deque<timeline_entry> m_entries;
};

void append_entry(timeline& history, timeline_entry entry);

/// Formats the entry as one line of key=value pairs.
std::string to_log_text(const timeline_entry& entry);

} // namespace chivevane
