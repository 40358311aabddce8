#include "libpolicy/gate/upstream_departures.h"

#include "libpolicy/gate/local_upstreams.h"
#include "libpolicy/gate/running_attempts.h"
#include "libpolicy/host_state.h"
#include "libpolicy/membership/departures.h"

namespace chivevane::gate {

namespace {

bool has_departed(const host_state& self, const reducer_context& context,
                  const std::string& endpoint, std::uint64_t run)
{
    return membership::is_departed_run(self.m_membership,
                                       {context.m_settings.m_self.m_name, endpoint}, run);
}

/// Takes an upstream out of use that an earlier process of this host knew as departed.
void apply_departure(host_state& self, reducer_context& context, local_upstream& upstream)
{
    const auto& endpoint = upstream.m_latest.m_endpoint;
    emit(context, record_event{"upstream-departed-earlier",
                               {{"endpoint", endpoint}},
                               record_target::timeline_and_log});
    upstream.m_latest.m_phase = upstream_phase::draining;
    refuse_queued(self, context, endpoint);
}

} // namespace

upstream_announcement with_known_departure(host_state& self, reducer_context& context,
                                           upstream_announcement announcement)
{
    const auto& endpoint = announcement.m_endpoint;
    if (announcement.m_phase == upstream_phase::draining) {
        membership::record_departure(self.m_membership, context, endpoint, announcement.m_run);
    }
    else if (has_departed(self, context, endpoint, announcement.m_run)) {
        announcement.m_phase = upstream_phase::draining;
    }
    else {
        membership::record_arrival(self.m_membership, context, endpoint, announcement.m_run);
    }
    return announcement;
}

void on_departures_reported(host_state& self, reducer_context& context,
                            std::span<const departure_entry> entries)
{
    membership::merge_departures(self.m_membership, context, entries);
    for (auto& [endpoint, upstream] : self.m_gate.m_upstreams) {
        if (upstream.m_latest.m_phase == upstream_phase::draining) {
            continue;
        }
        if (has_departed(self, context, endpoint, upstream.m_latest.m_run)) {
            apply_departure(self, context, upstream);
        }
        else {
            membership::record_arrival(self.m_membership, context, endpoint,
                                       upstream.m_latest.m_run);
        }
    }
    publish_upstreams(self);
}

} // namespace chivevane::gate
