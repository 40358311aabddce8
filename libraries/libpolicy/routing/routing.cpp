#include "libpolicy/routing/routing.h"

#include "libpolicy/configuration/configuration.h"
#include "libpolicy/health/health.h"
#include "libpolicy/membership/membership.h"

#include <algorithm>
#include <vector>

namespace chivevane::routing {

namespace {

bool was_tried(const question& asked, const upstream_id& upstream)
{
    return std::find(asked.m_tried.begin(), asked.m_tried.end(), upstream) != asked.m_tried.end();
}

} // namespace

std::optional<choice> choose_upstream(context& surroundings, const membership_state& members,
                                      const health_state& health,
                                      const configuration_state& configuration,
                                      const question& asked)
{
    std::vector<choice> untried;
    std::vector<choice> tried;
    for (const auto& [name, peer] : members.m_members) {
        const auto& latest = peer.m_latest;
        if (!membership::is_usable(peer) ||
            configuration::is_datacentre_out(configuration, asked.m_service, latest.m_datacentre)) {
            continue;
        }
        for (const auto& summary : latest.m_upstreams) {
            const upstream_id upstream{name, summary.m_endpoint};
            if (summary.m_service != asked.m_service ||
                summary.m_phase != upstream_phase::serving ||
                health::verdict_on(health, upstream).m_standing == health::standing::ejected) {
                continue;
            }
            auto& group = was_tried(asked, upstream) ? tried : untried;
            group.push_back({upstream, latest.m_address, latest.m_identity.m_incarnation});
        }
    }
    const auto& group = untried.empty() ? tried : untried;
    if (group.empty()) {
        return std::nullopt;
    }
    return group[surroundings.m_random(static_cast<std::uint32_t>(group.size()))];
}

} // namespace chivevane::routing
