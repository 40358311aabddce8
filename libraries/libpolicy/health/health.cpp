#include "libpolicy/health/health.h"

#include "libpolicy/configuration/configuration.h"
#include "libpolicy/health/outlier_detection.h"
#include "libpolicy/membership/membership.h"

#include <algorithm>

namespace chivevane::health {

namespace {

constexpr duration report_interval = 500ms;
constexpr double unreachable_excess = 2; // It exceeds that of any upstream that answers.

void merge_report(health_state& state, const host_identity& sender, const health_report& report)
{
    for (const auto& evidence : receive(state.m_inbox, sender, report, state.m_now)) {
        merge_evidence(state, evidence, state.m_now);
    }
}

void send_reports(health_state& state, reducer_context& context, const membership_state& members)
{
    const auto& self = context.m_settings.m_self;
    for (const auto& report : state.m_own_reports) {
        merge_report(state, self, report);
    }
    state.m_own_reports = build_reports(state.m_outbox, state.m_now);
    if (context.m_settings.m_placement == placement_mode::probing) {
        return; // Each gate evaluates its own upstream; other hosts need no evidence.
    }
    for (const auto& report : state.m_own_reports) {
        for (const auto& [name, peer] : members.m_members) {
            if (name != self.m_name && membership::is_usable(peer)) {
                emit(context, send_datagram{peer.m_record.m_address, report});
            }
        }
    }
}

const route_latency* find_route_latency(const health_state& state, std::string_view service,
                                        std::string_view route)
{
    const auto found = state.m_services.find(service);
    if (found == state.m_services.end()) {
        return nullptr;
    }
    const auto latency = found->second.m_routes.find(route);
    return latency == found->second.m_routes.end() ? nullptr : &latency->second;
}

/// The live, serving upstreams of each service, outside the data centres that are taken out of use.
std::map<std::string_view, std::vector<floor_candidate>>
floor_candidates(const health_state& state, const membership_state& members)
{
    std::map<std::string_view, std::vector<floor_candidate>> services;
    for (const auto& [name, peer] : members.m_members) {
        if (!membership::is_usable(peer)) {
            continue;
        }
        for (const auto& summary : peer.m_record.m_upstreams) {
            const auto found = state.m_upstreams.find({name, summary.m_endpoint});
            if (found == state.m_upstreams.end() || found->second.m_is_datacentre_out ||
                summary.m_phase != upstream_phase::serving) {
                continue;
            }
            services[summary.m_service].push_back(
                {&found->first, static_cast<double>(summary.m_slots),
                 assessment_before_floor(state, found->first, state.m_now),
                 excess_of(state, found->first, state.m_now)});
        }
    }
    return services;
}

void apply_capacity_floor(health_state& state, const membership_state& members,
                          const configuration_state& configuration)
{
    for (auto& [upstream, record] : state.m_upstreams) {
        record.m_is_kept_by_floor = false;
    }
    for (auto& [service, group] : floor_candidates(state, members)) {
        enforce_capacity_floor(group, capacity_floor_of(configuration, service));
        for (const auto& candidate : group) {
            const auto before_floor =
                assessment_before_floor(state, *candidate.m_upstream, state.m_now);
            state.m_upstreams.at(*candidate.m_upstream).m_is_kept_by_floor =
                before_floor.m_status != health_status::healthy &&
                candidate.m_assessment.m_status == health_status::healthy;
        }
    }
}

} // namespace

void record_observation(health_state& state, reducer_context& context, const observation& seen)
{
    state.m_now = context.m_now;
    if (seen.m_observer == observer::ingress) {
        record_observation(state.m_paths, seen, context.m_now);
    }
    const auto* latency = find_route_latency(state, seen.m_service, seen.m_route);
    record_observation(state.m_outbox, context.m_settings.m_self.m_name, seen,
                       latency == nullptr ? duration::max() : latency->m_slow_threshold,
                       context.m_now);
}

void on_report(health_state& state, reducer_context& context, const host_identity& sender,
               const health_report& report)
{
    state.m_now = context.m_now;
    if (sender.m_name != context.m_settings.m_self.m_name) {
        merge_report(state, sender, report);
    }
}

void on_timer(health_state& state, reducer_context& context, const membership_state& members,
              const configuration_state& configuration)
{
    state.m_now = context.m_now;
    const bool is_evaluation_due = context.m_now >= state.m_next_evaluation;
    if (context.m_now >= state.m_next_report || (is_evaluation_due && is_urgent(state.m_outbox))) {
        state.m_next_report = context.m_now + report_interval;
        send_reports(state, context, members);
    }
    if (is_evaluation_due) {
        state.m_next_evaluation = context.m_now + evaluation_interval;
        update_upstreams(state, members, configuration, context.m_now);
        evaluate_upstreams(state, context);
        apply_capacity_floor(state, members, configuration);
        erase_expired(state.m_paths, context.m_now);
        erase_expired(state.m_inbox, context.m_now);
    }
}

health_assessment assessment_before_floor(const health_state& state, const upstream_id& upstream,
                                          instant now)
{
    if (is_avoided(state.m_paths, upstream, now)) {
        return {health_status::ejected, 0};
    }
    const auto found = state.m_upstreams.find(upstream);
    if (found == state.m_upstreams.end()) {
        return {};
    }
    const auto& record = found->second;
    if (record.m_is_datacentre_out && record.m_ejection.m_status == health_status::healthy) {
        auto returning = record.m_ejection;
        begin_ramp(returning, now);
        return assessment_at(returning, 1, now);
    }
    const auto service = state.m_services.find(record.m_service);
    const auto trial_share = service == state.m_services.end() ? 1 : service->second.m_trial_share;
    return assessment_at(record.m_ejection, trial_share, now);
}

double excess_of(const health_state& state, const upstream_id& upstream, instant now)
{
    if (is_avoided(state.m_paths, upstream, now)) {
        return unreachable_excess;
    }
    const auto found = state.m_upstreams.find(upstream);
    return found == state.m_upstreams.end() ? 0 : found->second.m_excess;
}

health_assessment assessment_of(const health_state& state, const upstream_id& upstream)
{
    const auto found = state.m_upstreams.find(upstream);
    if (found != state.m_upstreams.end() && found->second.m_is_kept_by_floor) {
        return {health_status::healthy, 1};
    }
    return assessment_before_floor(state, upstream, state.m_now);
}

duration adaptive_timeout(const health_state& state, std::string_view service,
                          std::string_view route, duration fallback)
{
    const auto* latency = find_route_latency(state, service, route);
    return latency == nullptr ? fallback : latency->m_adaptive_timeout;
}

instant next_wakeup(const health_state& state)
{
    return std::min(state.m_next_report, state.m_next_evaluation);
}

} // namespace chivevane::health
