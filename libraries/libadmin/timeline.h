#pragma once

#include "libpolicy/effect.h"
#include "libwire/hybrid_time.h"

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace chivevane {

/// One event in the history of a host.
struct timeline_entry {
    hybrid_time m_at;
    std::string m_host;
    std::string m_name;
    std::vector<event_field> m_fields;

    bool operator==(const timeline_entry&) const = default;
};

/// The latest events of one host; the oldest make room for new ones.
struct timeline {
    std::size_t m_capacity = 4096;
    std::deque<timeline_entry> m_entries;
};

void append_entry(timeline& history, timeline_entry entry);

/// The entry as one line of key=value pairs.
std::string to_log_text(const timeline_entry& entry);

} // namespace chivevane
