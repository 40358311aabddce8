#include "libpolicy/explain/explain_candidates.h"

#include "libpolicy/health/health.h"
#include "libpolicy/host_state.h"
#include "libpolicy/ingress/destinations.h"
#include "libpolicy/ingress/probing.h"
#include "libpolicy/membership/membership.h"
#include "libpolicy/placement/destination_records.h"
#include "libpolicy/routing/routing.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace chivevane {

namespace {

gate_belief belief_of(const destination_record& record, instant now)
{
    gate_belief belief{record.m_busy_until - now,
                       record.m_full_until - now,
                       record.m_full_priority,
                       record.m_circuit_open_until - now,
                       {},
                       record.m_unreachable_until - now};
    if (record.m_circuit_seen_open_at != instant::min()) {
        belief.m_circuit_seen_open_ago = now - record.m_circuit_seen_open_at;
    }
    return belief;
}

void add_record(candidate_explanation& candidate, const host_state& self, instant now)
{
    const auto* const peer =
        membership::find_member(self.m_membership, candidate.m_upstream.m_host);
    if (peer == nullptr) {
        return;
    }
    const bool is_self = candidate.m_upstream.m_host == self.m_settings.m_self.m_name;
    candidate.m_datacentre = peer->m_record.m_datacentre;
    candidate.m_is_in_own_datacentre = candidate.m_datacentre == self.m_settings.m_datacentre;
    candidate.m_record_age = is_self ? duration{} : now - peer->m_last_round_at;
    const auto& upstreams = peer->m_record.m_upstreams;
    const auto found = std::find_if(upstreams.begin(), upstreams.end(), [&](const auto& each) {
        return each.m_endpoint == candidate.m_upstream.m_endpoint;
    });
    if (found != upstreams.end()) {
        candidate.m_slots = found->m_slots;
        candidate.m_concurrency = found->m_concurrency;
        candidate.m_queued = found->m_queued;
        candidate.m_warm_up_state = found->m_warm_up_state;
    }
}

/// Adds the load by which the placement mode compares upstreams.
void add_load(candidate_explanation& candidate, const host_state& self,
              const reducer_context& context)
{
    if (!ingress::probing::is_enabled(context)) {
        candidate.m_load =
            candidate.m_queued / static_cast<double>(std::max(1U, candidate.m_concurrency));
        candidate.m_load_age = candidate.m_record_age;
        candidate.m_load_source = load_source::host_record;
        return;
    }
    const auto record = placement::find_record(self.m_ingress.m_destinations, candidate.m_upstream);
    candidate.m_belief = belief_of(record, context.m_now);
    if (record.m_load_updated_at != instant::min()) {
        candidate.m_load = record.m_load;
        candidate.m_load_age = context.m_now - record.m_load_updated_at;
        candidate.m_load_source = load_source::gate_answer;
    }
}

candidate_explanation make_candidate(const host_state& self, const reducer_context& context,
                                     const upstream_id& upstream)
{
    candidate_explanation candidate;
    candidate.m_upstream = upstream;
    candidate.m_health = health::assessment_of(self.m_health, upstream);
    add_record(candidate, self, context.m_now);
    add_load(candidate, self, context);
    return candidate;
}

/// Adds the candidates of one step. Those that an earlier step has are left out.
void add_step(std::vector<candidate_explanation>& candidates, const host_state& self,
              const reducer_context& context, const ingress::destination_step& step,
              std::size_t number)
{
    for (const auto& possible : step.m_upstreams) {
        const bool is_known =
            std::any_of(candidates.begin(), candidates.end(), [&possible](const auto& each) {
                return each.m_upstream == possible.m_upstream;
            });
        if (is_known) {
            continue;
        }
        auto candidate = make_candidate(self, context, possible.m_upstream);
        candidate.m_step = number;
        candidate.m_probability = number == 1 ? possible.m_probability : 0;
        candidate.m_queueing = step.m_queueing;
        candidate.m_circuit_breaker_mode = step.m_circuit_breaker_mode;
        candidates.push_back(std::move(candidate));
    }
}

} // namespace

std::vector<candidate_explanation> explain_candidates(const host_state& self,
                                                      const reducer_context& context,
                                                      const ingress_request& request)
{
    std::vector<candidate_explanation> candidates;
    std::size_t number = 0;
    for (const auto& step : ingress::possible_destinations(self, context, request)) {
        add_step(candidates, self, context, step, ++number);
    }
    ingress::destination_step others;
    for (const auto& each : routing::find_upstreams(context, self.m_membership,
                                                    self.m_configuration, request.m_service)) {
        others.m_upstreams.push_back({each.m_location.m_upstream, 0});
    }
    add_step(candidates, self, context, others, 0);
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
        const auto order_of = [](const candidate_explanation& each) {
            const auto last = std::numeric_limits<std::size_t>::max();
            return std::tuple{each.m_step == 0 ? last : each.m_step, -each.m_probability};
        };
        return order_of(left) < order_of(right);
    });
    return candidates;
}

} // namespace chivevane
