#include "libhost/caller_limits_in_force.h"

#include <algorithm>

namespace chivevane {

namespace {

template <typename Limit>
Limit or_default(Limit told, Limit fallback)
{
    return told == Limit{} ? fallback : told;
}

} // namespace

caller_limits widest_caller_limits(const configuration_state& configuration)
{
    caller_limits widest{};
    for (const auto& [name, held] : configuration.m_documents) {
        const auto& told = held.m_rules->m_caller_limits;
        widest = {std::max(widest.m_head_bytes, told.m_head_bytes),
                  std::max(widest.m_body_bytes, told.m_body_bytes),
                  std::max(widest.m_head_timeout, told.m_head_timeout),
                  std::max(widest.m_idle_timeout, told.m_idle_timeout)};
    }
    return widest;
}

void apply_caller_limits(traffic_server& server, const traffic_server_options& defaults,
                         const caller_limits& limits)
{
    server.set_limits({or_default(limits.m_head_bytes, defaults.m_limits.m_max_head_size),
                       or_default(limits.m_body_bytes, defaults.m_limits.m_max_body_size)},
                      or_default(limits.m_head_timeout, defaults.m_head_timeout),
                      or_default(limits.m_idle_timeout, defaults.m_idle_timeout));
}

} // namespace chivevane
