#include "libhost/caller_limits_in_force.h"

#include <algorithm>

namespace chivevane {

namespace {

template <typename Limit>
Limit or_default(Limit configured, Limit fallback)
{
    return configured == Limit{} ? fallback : configured;
}

} // namespace

caller_limits largest_caller_limits(const configuration_state& configuration)
{
    caller_limits largest{};
    for (const auto& [name, entry] : configuration.m_documents) {
        const auto& configured = entry.m_document->m_caller_limits;
        largest = {std::max(largest.m_head_bytes, configured.m_head_bytes),
                   std::max(largest.m_body_bytes, configured.m_body_bytes),
                   std::max(largest.m_head_timeout, configured.m_head_timeout),
                   std::max(largest.m_idle_timeout, configured.m_idle_timeout)};
    }
    return largest;
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
