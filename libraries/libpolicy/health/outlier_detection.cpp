#include "libpolicy/health/outlier_detection.h"

#include "libpolicy/configuration/configuration.h"
#include "libpolicy/membership/membership.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <set>

namespace chivevane::health {

namespace {

// Ejections outlast a restart of the upstream that takes less than this.
constexpr duration record_lifetime = 10min;

// The peers' reports on the time at which an ejection becomes pending arrive within this time.
constexpr duration min_confirmation_time = 240ms;

// A pending ejection is dropped after this time without support by the tests. Shorter gaps occur by
// chance: an unhealthy upstream may give few bad answers for a moment.
constexpr duration pending_ejection_lifetime = 1s;

// A fault is shared by the peers if their share of failures exceeds the first value and, relative
// to that of the suspected upstream, the second.
constexpr double min_shared_failure_share = 0.03;
constexpr double shared_failure_ratio = 0.4;

// Mean number of answers of each peer that an ejection requires. With more answers, failures that
// reach all upstreams together show at the peers as well.
constexpr double min_answers_per_peer = 1;
constexpr double min_answers_per_peer_on_failures = 2;

// Peers without traffic must not protect an unhealthy upstream for longer than this.
constexpr duration max_confirmation_time = 1min;

// An upstream that was ejected recently is ejected again on less evidence.
constexpr double ejection_severity = 1;
constexpr double repeated_ejection_severity = 0.6;

constexpr double max_trial_rate = 5; // Answers per second from all hosts together.
constexpr double min_trial_share = 0.01;
constexpr duration rate_time_constant = 5s;
constexpr double min_answers_for_timeout = 20;
constexpr double timeout_quantile = 0.99;
constexpr double slow_threshold_factor = 3; // Multiple of the median latency.
constexpr int timeout_factor = 2; // Multiple of the quantile; only stuck requests exceed it.
constexpr duration min_adaptive_timeout = 50ms;

using service_members = std::vector<std::pair<const upstream_id*, upstream_record*>>;

/// The currently announced upstreams of each service, which are compared with each other.
std::map<std::string_view, service_members> members_by_service(health_state& state)
{
    std::map<std::string_view, service_members> services;
    for (auto& [upstream, record] : state.m_upstreams) {
        if (record.m_announced_at == state.m_now) {
            services[record.m_service].emplace_back(&upstream, &record);
        }
    }
    return services;
}

std::set<std::string_view> routes_of(const service_members& members)
{
    std::set<std::string_view> routes;
    for (const auto& [upstream, record] : members) {
        for (const auto& [route, evidence] : record->m_routes) {
            routes.insert(route);
        }
    }
    return routes;
}

/// Decays the windows and adds the pending answers to them.
void merge_pending(service_members& members, instant now)
{
    for (auto& [upstream, record] : members) {
        for (auto& [route, evidence] : record->m_routes) {
            decay(evidence.m_window, now);
            add(evidence.m_window, evidence.m_pending);
        }
    }
}

/// The windows on `route` of all upstreams that belong to the baseline: those not ejected.
std::vector<const evidence_window*> baseline_windows(std::string_view route,
                                                     const service_members& members)
{
    std::vector<const evidence_window*> windows;
    for (const auto& [upstream, record] : members) {
        const auto found = record->m_routes.find(route);
        if (found != record->m_routes.end() &&
            record->m_ejection.m_status != health_status::ejected) {
            windows.push_back(&found->second.m_window);
        }
    }
    return windows;
}

/// The results of one evaluation of one upstream.
struct upstream_evaluation {
    upstream_record* m_record = nullptr;
    std::uint32_t m_answers = 0;                    ///< Answers since the last evaluation.
    std::array<double, symptom_count> m_evidence{}; ///< New evidence over all routes.
    symptom_counts m_recent;                        ///< Recent answers over all routes.
    severity m_severity; ///< The worst of any route and of all routes together.
    double m_excess = 0; ///< The largest of any route.
};

/// Adds the evidence of the new answers on one route to the tests.
void add_route_evidence(upstream_evaluation& evaluation, route_record& evidence,
                        const peer_baseline& baseline)
{
    const auto ratios = log_likelihood_ratios(evidence.m_pending, baseline);
    add(evidence.m_tests, ratios);
    for (std::size_t index = 0; index < symptom_count; ++index) {
        evaluation.m_evidence[index] += ratios[index];
    }
    evaluation.m_answers += request_count(evidence.m_pending);
    evidence.m_pending = {};
}

void keep_worst_severity(upstream_evaluation& evaluation, const severity& found)
{
    if (found.m_value > evaluation.m_severity.m_value) {
        evaluation.m_severity = found;
    }
}

/// Computes severity and excess on one route from its tests and its window.
void evaluate_route_severity(upstream_evaluation& evaluation, const route_record& evidence,
                             const peer_baseline& baseline,
                             const std::array<double, symptom_count>& peer_sums)
{
    symptom_counts recent;
    count_symptoms(recent, evidence.m_window, baseline);
    count_symptoms(evaluation.m_recent, evidence.m_window, baseline);
    keep_worst_severity(evaluation, severity_of(evidence.m_tests, peer_sums, recent));
    evaluation.m_excess = std::max(evaluation.m_excess, excess_of(recent));
}

/// One upstream on one route that is being evaluated.
struct route_evaluation {
    upstream_evaluation* m_evaluation = nullptr;
    route_record* m_evidence = nullptr;
    bool m_is_in_baseline = false; ///< It counts among the peers that others are compared with.
    peer_baseline m_baseline;
};

/// The median sums of all upstreams in the baseline but `excluded`.
std::array<double, symptom_count> median_peer_sums(const std::vector<route_evaluation>& parts,
                                                   const route_evaluation& excluded)
{
    std::vector<const cusum_tests*> peers;
    for (const auto& part : parts) {
        if (part.m_is_in_baseline && part.m_evidence != excluded.m_evidence) {
            peers.push_back(&part.m_evidence->m_tests);
        }
    }
    return median_sums(peers);
}

void evaluate_route(std::string_view route, std::vector<upstream_evaluation>& evaluations,
                    const std::vector<const evidence_window*>& windows)
{
    std::vector<route_evaluation> parts;
    for (auto& evaluation : evaluations) {
        const auto found = evaluation.m_record->m_routes.find(route);
        if (found != evaluation.m_record->m_routes.end()) {
            const bool is_in_baseline =
                evaluation.m_record->m_ejection.m_status != health_status::ejected;
            auto peers = windows;
            std::erase(peers, &found->second.m_window);
            parts.push_back({&evaluation, &found->second, is_in_baseline, baseline_of(peers)});
        }
    }
    for (const auto& part : parts) {
        add_route_evidence(*part.m_evaluation, *part.m_evidence, part.m_baseline);
    }
    for (const auto& part : parts) {
        evaluate_route_severity(*part.m_evaluation, *part.m_evidence, part.m_baseline,
                                median_peer_sums(parts, part));
    }
}

/// Adds the new evidence to the tests over all routes together and computes their severity.
void evaluate_overall_severity(std::vector<upstream_evaluation>& evaluations)
{
    for (auto& evaluation : evaluations) {
        add(evaluation.m_record->m_tests, evaluation.m_evidence);
    }
    for (auto& evaluation : evaluations) {
        std::vector<const cusum_tests*> peers;
        for (const auto& other : evaluations) {
            if (&other != &evaluation &&
                other.m_record->m_ejection.m_status != health_status::ejected) {
                peers.push_back(&other.m_record->m_tests);
            }
        }
        const auto overall =
            severity_of(evaluation.m_record->m_tests, median_sums(peers), evaluation.m_recent);
        keep_worst_severity(evaluation, overall);
    }
}

/// Evaluations of all `members` without new evidence.
std::vector<upstream_evaluation> empty_evaluations(service_members& members)
{
    std::vector<upstream_evaluation> evaluations;
    for (auto& [upstream, record] : members) {
        evaluations.push_back({record});
    }
    return evaluations;
}

bool has_pending_ejection(const service_members& members)
{
    return std::any_of(members.begin(), members.end(), [](const auto& member) {
        return member.second->m_pending_ejection.has_value();
    });
}

/// Merges the pending answers and evaluates all `members` on all routes.
std::vector<upstream_evaluation> evaluate_new_evidence(service_members& members, instant now)
{
    merge_pending(members, now);
    auto evaluations = empty_evaluations(members);
    for (const auto route : routes_of(members)) {
        evaluate_route(route, evaluations, baseline_windows(route, members));
    }
    evaluate_overall_severity(evaluations);
    return evaluations;
}

void record_status_change(reducer_context& context, const upstream_id& upstream,
                          const upstream_record& record)
{
    constexpr std::array<std::string_view, 4> names{"healthy", "trial", "ramping", "ejected"};
    const auto& current = record.m_ejection;
    emit(context,
         record_event{"upstream_standing",
                      {{"host", upstream.m_host},
                       {"endpoint", upstream.m_endpoint},
                       {"service", record.m_service},
                       {"standing", std::string{names[static_cast<std::size_t>(current.m_status)]}},
                       {"excess", fmt::format("{:.2f}", record.m_excess)},
                       {"ejections", std::to_string(current.m_ejections)}},
                      record_target::timeline_and_log});
}

void reset_evidence(upstream_record& record)
{
    record.m_routes.clear();
    record.m_tests = {};
    record.m_pending_ejection.reset();
}

pending_ejection start_pending_ejection(const service_members& members,
                                        const upstream_record& suspect, instant now)
{
    pending_ejection pending{now, now, {}};
    for (const auto& [upstream, record] : members) {
        if (record != &suspect && record->m_ejection.m_status != health_status::ejected) {
            pending.m_peer_totals[*upstream] = record->m_totals;
        }
    }
    return pending;
}

/// The answers and failures of each peer since the ejection became pending.
std::vector<peer_counts> peer_answers_since(const pending_ejection& pending,
                                            const service_members& members)
{
    std::vector<peer_counts> counts;
    for (const auto& [upstream, record] : members) {
        const auto found = pending.m_peer_totals.find(*upstream);
        if (found != pending.m_peer_totals.end() &&
            record->m_totals.m_requests > found->second.m_requests) {
            const auto& [requests, failures] = record->m_totals;
            counts.push_back({static_cast<double>(failures - found->second.m_failures),
                              static_cast<double>(requests - found->second.m_requests)});
        }
    }
    return counts;
}

/// Whether the peers fail by now as well. A fault that affects all upstreams shows at one of them
/// first.
bool is_shared_by_peers(const upstream_evaluation& evaluation,
                        const std::vector<peer_counts>& peer_answers)
{
    constexpr auto failing = static_cast<std::size_t>(symptom::failing);
    if (evaluation.m_severity.m_symptom != symptom::failing) {
        return false;
    }
    const auto own_share = evaluation.m_recent.m_observed[failing] / evaluation.m_recent.m_requests;
    const auto peers_share = baseline_share(peer_answers);
    return peers_share > min_shared_failure_share && peers_share > shared_failure_ratio * own_share;
}

/// Whether the upstream is to be ejected: the ejection was pending for long enough that the peers'
/// reports on that time have come and the peers had some answers, but they do not show the same
/// fault. Starts, renews and drops the pending ejection.
bool is_ejection_confirmed(upstream_record& record, const upstream_evaluation& evaluation,
                           const service_members& members, instant now)
{
    const auto& current = record.m_ejection;
    const bool was_ejected = current.m_status != health_status::healthy && current.m_ejections > 0;
    if (evaluation.m_severity.m_value <
        (was_ejected ? repeated_ejection_severity : ejection_severity)) {
        if (record.m_pending_ejection &&
            now - record.m_pending_ejection->m_last_supported_at >= pending_ejection_lifetime) {
            record.m_pending_ejection.reset();
        }
        return false;
    }
    record.m_excess = evaluation.m_excess;
    if (!record.m_pending_ejection) {
        record.m_pending_ejection = start_pending_ejection(members, record, now);
        return false;
    }
    record.m_pending_ejection->m_last_supported_at = now;
    const auto peer_answers = peer_answers_since(*record.m_pending_ejection, members);
    double answers = 0;
    for (const auto& peer : peer_answers) {
        answers += peer.m_requests;
    }
    const auto elapsed = now - record.m_pending_ejection->m_since;
    const auto answers_per_peer = evaluation.m_severity.m_symptom == symptom::failing
                                      ? min_answers_per_peer_on_failures
                                      : min_answers_per_peer;
    const auto required_answers =
        answers_per_peer * static_cast<double>(record.m_pending_ejection->m_peer_totals.size());
    if (elapsed < min_confirmation_time ||
        (answers < required_answers && elapsed < max_confirmation_time)) {
        return false;
    }
    if (is_shared_by_peers(evaluation, peer_answers)) {
        record.m_pending_ejection = start_pending_ejection(members, record, now);
        return false;
    }
    return true;
}

void apply_evaluation(upstream_record& record, const upstream_evaluation& evaluation,
                      const service_members& members, instant now)
{
    if (record.m_ejection.m_status == health_status::ejected) {
        if (evaluation.m_answers > 0) {
            record.m_excess = evaluation.m_excess;
        }
    }
    else if (is_ejection_confirmed(record, evaluation, members, now)) {
        eject(record.m_ejection, now);
    }
    record_trial_answers(record.m_ejection, evaluation.m_answers, evaluation.m_severity.m_value,
                         now);
}

void advance_status(upstream_record& record, instant now)
{
    if (advance(record.m_ejection, now) == status_change::trial_began) {
        reset_evidence(record);
    }
}

void update_service(service_record& service, std::size_t members, duration elapsed)
{
    const auto weight = 1 - std::exp(-to_seconds(elapsed) / to_seconds(rate_time_constant));
    const auto rate = elapsed > duration{} ? service.m_pending / to_seconds(elapsed) : 0.0;
    service.m_answers_per_second += weight * (rate - service.m_answers_per_second);
    service.m_pending = 0;
    const auto rate_per_upstream =
        service.m_answers_per_second / static_cast<double>(std::max<std::size_t>(members, 1));
    service.m_trial_share = rate_per_upstream > max_trial_rate
                                ? std::max(min_trial_share, max_trial_rate / rate_per_upstream)
                                : 1.0;
}

std::optional<route_latency> route_latency_of(std::string_view route,
                                              const service_members& members)
{
    evidence_window all;
    for (const auto* window : baseline_windows(route, members)) {
        for (std::size_t bucket = 0; bucket < latency_bucket_count; ++bucket) {
            all.m_latencies[bucket] += window->m_latencies[bucket];
        }
    }
    if (request_count(all) < min_answers_for_timeout) {
        return std::nullopt;
    }
    const auto high_quantile = upper_bound_of(quantile_bucket(all, timeout_quantile));
    const auto median = upper_bound_of(quantile_bucket(all, 0.5));
    return route_latency{from_seconds(slow_threshold_factor * to_seconds(median)),
                         std::max(min_adaptive_timeout, high_quantile * timeout_factor)};
}

void update_route_latencies(service_record& service, const service_members& members)
{
    for (const auto route : routes_of(members)) {
        if (const auto latency = route_latency_of(route, members)) {
            service.m_routes.insert_or_assign(std::string{route}, *latency);
        }
    }
}

} // namespace

void merge_evidence(health_state& state, const received_evidence& evidence, instant now)
{
    auto& record = state.m_upstreams[evidence.m_key.m_upstream];
    if (record.m_service != evidence.m_service) {
        record = {evidence.m_service};
        record.m_announced_at = now;
    }
    auto [place, is_new] = record.m_routes.try_emplace(evidence.m_key.m_route);
    if (is_new) {
        place->second.m_window.m_decayed_at = now;
    }
    accumulate(place->second.m_pending, evidence.m_answers);
    const auto answers = request_count(evidence.m_answers);
    record.m_totals.m_requests += answers;
    record.m_totals.m_failures += evidence.m_answers.m_failures;
    state.m_services[evidence.m_service].m_pending += answers;
}

void update_upstreams(health_state& state, const membership_state& members,
                      const configuration_state& configuration, instant now)
{
    for (const auto& [name, peer] : members.m_members) {
        if (!membership::is_usable(peer)) {
            continue;
        }
        const auto& peer_record = peer.m_record;
        for (const auto& summary : peer_record.m_upstreams) {
            auto& record = state.m_upstreams[{name, summary.m_endpoint}];
            if (record.m_service != summary.m_service) {
                record = {summary.m_service};
            }
            record.m_announced_at = now;
            const bool is_out = configuration::is_datacentre_out(configuration, summary.m_service,
                                                                 peer_record.m_datacentre);
            if (record.m_is_datacentre_out && !is_out &&
                record.m_ejection.m_status == health_status::healthy) {
                begin_ramp(record.m_ejection, now);
            }
            record.m_is_datacentre_out = is_out;
        }
    }
    std::erase_if(state.m_upstreams, [now](const auto& entry) {
        return now - entry.second.m_announced_at > record_lifetime;
    });
}

void evaluate_upstreams(health_state& state, reducer_context& context)
{
    for (auto& [service, members] : members_by_service(state)) {
        auto& service_state = state.m_services[std::string{service}];
        const bool has_new_evidence = service_state.m_pending > 0 || has_pending_ejection(members);
        const auto evaluations = has_new_evidence ? evaluate_new_evidence(members, state.m_now)
                                                  : empty_evaluations(members);
        for (std::size_t index = 0; index < evaluations.size(); ++index) {
            auto& [upstream, record] = members[index];
            const auto before = record->m_ejection.m_status;
            if (has_new_evidence) {
                apply_evaluation(*record, evaluations[index], members, state.m_now);
            }
            advance_status(*record, state.m_now);
            if (record->m_ejection.m_status != before) {
                record_status_change(context, *upstream, *record);
            }
        }
        update_service(service_state, members.size(), evaluation_interval);
        if (has_new_evidence) {
            update_route_latencies(service_state, members);
        }
    }
}

} // namespace chivevane::health
