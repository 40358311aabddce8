#include "libhttp/connection_limit.h"

#include "libhttp/memory_budget.h"

#include <tuple>

namespace chivevane {

namespace {

bool may_close(const connection_activity& connection, instant now)
{
    const auto stalled_for = now - connection.m_last_progress;
    switch (connection.m_phase) {
    case connection_phase::ending:
    case connection_phase::idle:
        return true;
    case connection_phase::receiving:
        return stalled_for >= stalled_body_time;
    case connection_phase::unread:
        return stalled_for >= stalled_answer_time;
    case connection_phase::busy:
        break;
    }
    return false;
}

} // namespace

std::optional<std::size_t>
choose_connection_to_close(std::span<const connection_activity> connections, instant now)
{
    std::optional<std::size_t> chosen;
    const auto rank_of = [&](std::size_t index) {
        const auto& connection = connections[index];
        return std::tuple{connection.m_phase, connection.m_last_progress};
    };
    for (std::size_t index = 0; index < connections.size(); ++index) {
        if (may_close(connections[index], now) && (!chosen || rank_of(index) < rank_of(*chosen))) {
            chosen = index;
        }
    }
    return chosen;
}

} // namespace chivevane
