#include "libhost/memory_event_log.h"

#include <utility>

namespace chivevane {

namespace {

constexpr duration line_interval = 1s;

} // namespace

std::string_view name_of(memory_event event)
{
    switch (event) {
    case memory_event::body_refused:
        return "body-refused";
    case memory_event::body_evicted:
        return "stalled-body-ended";
    case memory_event::answer_unbuffered:
        return "answer-not-buffered";
    case memory_event::reader_closed:
        return "stalled-reader-closed";
    case memory_event::connection_closed:
        return "connection-limit-reached";
    }
    return "";
}

std::uint64_t count_memory_event(memory_event_log& log, memory_event event, instant now)
{
    auto& entry = log.m_entries.at(static_cast<std::size_t>(event));
    ++entry.m_unlogged;
    if (entry.m_logged_at && now - *entry.m_logged_at < line_interval) {
        return 0;
    }
    entry.m_logged_at = now;
    return std::exchange(entry.m_unlogged, 0);
}

} // namespace chivevane
