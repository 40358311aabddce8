#include "libpolicy/gate/local_upstreams.h"

#include "libpolicy/admission/admission.h"
#include "libpolicy/host_state.h"
#include "libpolicy/membership/membership.h"

namespace chivevane::gate {

namespace {

/// How long after this process started the upstreams may have received requests from the host's
/// previous process that still count towards their start rate.
constexpr duration previous_process_request_window = 1s;

} // namespace

void apply_announcement(host_state& self, reducer_context& context,
                        const upstream_announcement& announcement)
{
    const auto [place, is_added] = self.m_gate.m_upstreams.try_emplace(announcement.m_endpoint);
    auto& upstream = place->second;
    const bool is_new = is_added || upstream.m_latest.m_run != announcement.m_run;
    if (is_new) {
        upstream.m_repeat_budget = 1;
        upstream.m_circuit = {};
        upstream.m_named_rate.reset();
        upstream.m_has_said_leaving = false;
    }
    upstream.m_is_replaced = false;
    upstream.m_latest = announcement;
    upstream.m_expires_at = context.m_now + announcement.m_time_to_live;
    admission::set_upstream(self.m_admission, announcement.m_endpoint, announcement.m_slots,
                            announcement.m_warm_up_state,
                            is_new ? admission::announced_run::new_run
                                   : admission::announced_run::known_run,
                            context.m_now);
    if (is_added && announcement.m_warm_up_state == warm_up_state::cold) {
        admission::block_starts(self.m_admission, announcement.m_endpoint,
                                self.m_configuration.m_started_at +
                                    previous_process_request_window);
    }
    publish_upstreams(self);
}

std::vector<attempt_id> remove_expired_upstreams(host_state& self, reducer_context& context)
{
    std::vector<attempt_id> waiting;
    auto& upstreams = self.m_gate.m_upstreams;
    for (auto place = upstreams.begin(); place != upstreams.end();) {
        if (place->second.m_expires_at > context.m_now) {
            ++place;
            continue;
        }
        for (const auto& queued : admission::remove_upstream(self.m_admission, place->first)) {
            waiting.push_back(queued.m_attempt);
        }
        place = upstreams.erase(place);
    }
    return waiting;
}

void publish_upstreams(host_state& self)
{
    std::vector<upstream_summary> summaries;
    for (const auto& [endpoint, upstream] : self.m_gate.m_upstreams) {
        const auto load = admission::load_of(self.m_admission, endpoint);
        const auto& latest = upstream.m_latest;
        const auto phase = upstream.m_has_said_leaving ? upstream_phase::draining : latest.m_phase;
        summaries.push_back({endpoint, latest.m_service, latest.m_slots, load.m_concurrency,
                             load.m_queued, latest.m_warm_up_state, phase});
    }
    membership::set_own_upstreams(self.m_membership, std::move(summaries));
}

const local_upstream* find_serving_upstream(const gate_state& state, std::string_view endpoint)
{
    const auto found = state.m_upstreams.find(endpoint);
    const bool is_serving = found != state.m_upstreams.end() && !found->second.m_is_replaced &&
                            !found->second.m_has_said_leaving &&
                            found->second.m_latest.m_phase == upstream_phase::serving;
    return is_serving ? &found->second : nullptr;
}

} // namespace chivevane::gate
