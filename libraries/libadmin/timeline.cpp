#include "libadmin/timeline.h"

#include "libbase/log_line.h"

namespace chivevane {

void append_entry(timeline& history, timeline_entry entry)
{
    if (history.m_entries.size() >= history.m_capacity) {
        history.m_entries.pop_front();
    }
    history.m_entries.push_back(std::move(entry));
}

std::string to_log_text(const timeline_entry& entry)
{
    log_line line{entry.m_name};
    line.add("host", entry.m_host);
    line.add("at_ms", entry.m_at.m_wall_ms);
    line.add("at_counter", entry.m_at.m_counter);
    for (const auto& field : entry.m_fields) {
        line.add(field.m_key, field.m_value);
    }
    return line.text();
}

} // namespace chivevane
