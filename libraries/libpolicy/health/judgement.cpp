#include "libpolicy/health/judgement.h"

#include "libpolicy/configuration/configuration.h"
#include "libpolicy/membership/membership.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <set>

namespace chivevane::health {

namespace {

constexpr duration record_lifetime = 10min;   // Ejections are remembered over a restart.
constexpr duration confirmation_time = 240ms; // By then the peers' reports of that time have come.
constexpr duration doubt_memory = 1s; // Few bad answers come by chance in the midst of many.
constexpr double least_common_share = 0.03;
constexpr double common_part = 0.4; // Of the suspect's share of failures.
// Answers from each peer on average before a suspicion is confirmed. Failures that reach all
// upstreams together are told apart by them.
constexpr double answers_by_peer = 1;
constexpr double answers_by_peer_on_failures = 2;
constexpr duration longest_doubt = 1min; // Peers without traffic must not protect the sick.
constexpr double sick = 1;
constexpr double sick_on_trial = 0.6; // Who was ejected once is ejected again on less evidence.
constexpr double trial_rate = 5;      // Answers per second from all hosts together.
constexpr double least_trial_share = 0.01;
constexpr duration rate_memory = 5s;
constexpr double answers_for_expectation = 20;
constexpr double expected_quantile = 0.99;
constexpr double slow_margin = 3;  // Times the median.
constexpr int expected_margin = 2; // Times the quantile: only a stuck request takes so long.
constexpr duration least_expected = 50ms;

using service_members = std::vector<std::pair<const upstream_id*, upstream_record*>>;

/// The upstreams of each service that judgement may compare: those announced now.
std::map<std::string_view, service_members> members_by_service(health_state& state)
{
    std::map<std::string_view, service_members> services;
    for (auto& [upstream, record] : state.m_upstreams) {
        if (record.m_present_at == state.m_now) {
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

void take_pending(service_members& members, instant now)
{
    for (auto& [upstream, record] : members) {
        for (auto& [route, evidence] : record->m_routes) {
            decay(evidence.m_window, now);
            add(evidence.m_window, evidence.m_pending);
        }
    }
}

/// The windows on `route` of all upstreams that may serve as examples of the ordinary.
std::vector<const evidence_window*> windows_on(std::string_view route,
                                               const service_members& members)
{
    std::vector<const evidence_window*> windows;
    for (const auto& [upstream, record] : members) {
        const auto found = record->m_routes.find(route);
        if (found != record->m_routes.end() && record->m_standing.m_standing != standing::ejected) {
            windows.push_back(&found->second.m_window);
        }
    }
    return windows;
}

/// One upstream's tests in one judgement.
struct examination {
    upstream_record* m_record = nullptr;
    std::uint32_t m_answers = 0; ///< New ones.
    std::array<double, symptom_count> m_evidence{};
    symptom_counts m_recent;
    severity m_severity; ///< Of the worst route, or of all together.
    double m_excess = 0;
};

/// Adds the new answers on one route to the tests.
void test_route(examination& exam, route_record& evidence, const peer_reference& reference)
{
    const auto gained = evidence_of(evidence.m_pending, reference);
    add(evidence.m_tests, gained);
    for (std::size_t index = 0; index < symptom_count; ++index) {
        exam.m_evidence[index] += gained[index];
    }
    exam.m_answers += requests_of(evidence.m_pending);
    evidence.m_pending = {};
}

void note_severity(examination& exam, const severity& found)
{
    if (found.m_value > exam.m_severity.m_value) {
        exam.m_severity = found;
    }
}

/// Draws the conclusion from tests and window of one route.
void conclude_route(examination& exam, const route_record& evidence,
                    const peer_reference& reference,
                    const std::array<double, symptom_count>& common)
{
    symptom_counts recent;
    count(recent, evidence.m_window, reference);
    count(exam.m_recent, evidence.m_window, reference);
    note_severity(exam, severity_of(evidence.m_tests, common, recent));
    exam.m_excess = std::max(exam.m_excess, excess_of(recent));
}

/// One upstream's part in the examination of a route.
struct route_examination {
    examination* m_exam = nullptr;
    route_record* m_evidence = nullptr;
    bool m_is_example = false; ///< Serves as an example of the ordinary.
    peer_reference m_reference;
};

std::array<double, symptom_count> common_among(const std::vector<route_examination>& parts,
                                               const route_examination& excluded)
{
    std::vector<const suspicion*> peers;
    for (const auto& part : parts) {
        if (part.m_is_example && part.m_evidence != excluded.m_evidence) {
            peers.push_back(&part.m_evidence->m_tests);
        }
    }
    return common_sums(peers);
}

void examine_route(std::string_view route, std::vector<examination>& exams,
                   const std::vector<const evidence_window*>& windows)
{
    std::vector<route_examination> parts;
    for (auto& exam : exams) {
        const auto found = exam.m_record->m_routes.find(route);
        if (found != exam.m_record->m_routes.end()) {
            const bool is_example = exam.m_record->m_standing.m_standing != standing::ejected;
            auto peers = windows;
            std::erase(peers, &found->second.m_window);
            parts.push_back({&exam, &found->second, is_example, refer_to(peers)});
        }
    }
    for (const auto& part : parts) {
        test_route(*part.m_exam, *part.m_evidence, part.m_reference);
    }
    for (const auto& part : parts) {
        conclude_route(*part.m_exam, *part.m_evidence, part.m_reference, common_among(parts, part));
    }
}

/// Draws the conclusion from the tests over all routes together.
void conclude_whole(std::vector<examination>& exams)
{
    for (auto& exam : exams) {
        add(exam.m_record->m_tests, exam.m_evidence);
    }
    for (auto& exam : exams) {
        std::vector<const suspicion*> peers;
        for (const auto& other : exams) {
            if (&other != &exam && other.m_record->m_standing.m_standing != standing::ejected) {
                peers.push_back(&other.m_record->m_tests);
            }
        }
        const auto whole = severity_of(exam.m_record->m_tests, common_sums(peers), exam.m_recent);
        note_severity(exam, whole);
    }
}

/// Examinations without any finding.
std::vector<examination> no_news(service_members& members)
{
    std::vector<examination> exams;
    for (auto& [upstream, record] : members) {
        exams.push_back({record});
    }
    return exams;
}

bool has_doubt(const service_members& members)
{
    return std::any_of(members.begin(), members.end(),
                       [](const auto& member) { return member.second->m_doubt.has_value(); });
}

std::vector<examination> examine_anew(service_members& members, instant now)
{
    take_pending(members, now);
    auto exams = no_news(members);
    for (const auto route : routes_of(members)) {
        examine_route(route, exams, windows_on(route, members));
    }
    conclude_whole(exams);
    return exams;
}

void record_standing(context& surroundings, const upstream_id& upstream,
                     const upstream_record& record)
{
    constexpr std::array<std::string_view, 4> names{"healthy", "trial", "ramping", "ejected"};
    const auto& now_stands = record.m_standing;
    emit(surroundings,
         record_event{
             "upstream_standing",
             {{"host", upstream.m_host},
              {"endpoint", upstream.m_endpoint},
              {"service", record.m_service},
              {"standing", std::string{names[static_cast<std::size_t>(now_stands.m_standing)]}},
              {"excess", fmt::format("{:.2f}", record.m_excess)},
              {"ejections", std::to_string(now_stands.m_ejections)}},
             record_target::timeline_and_log});
}

void begin_anew(upstream_record& record)
{
    record.m_routes.clear();
    record.m_tests = {};
    record.m_doubt.reset();
}

doubt begin_doubt(const service_members& members, const upstream_record& suspect, instant now)
{
    doubt held{now, now, {}};
    for (const auto& [upstream, record] : members) {
        if (record != &suspect && record->m_standing.m_standing != standing::ejected) {
            held.m_peers[*upstream] = record->m_totals;
        }
    }
    return held;
}

/// What the peers answered since the suspicion arose.
std::vector<peer_share> answers_since(const doubt& held, const service_members& members)
{
    std::vector<peer_share> shares;
    for (const auto& [upstream, record] : members) {
        const auto found = held.m_peers.find(*upstream);
        if (found != held.m_peers.end() && record->m_totals.m_requests > found->second.m_requests) {
            const auto& [requests, failures] = record->m_totals;
            shares.push_back({static_cast<double>(failures - found->second.m_failures),
                              static_cast<double>(requests - found->second.m_requests)});
        }
    }
    return shares;
}

/// Whether the peers fail as well by now: a trouble that reaches all shows at one of them first.
bool is_common(const examination& exam, const std::vector<peer_share>& since)
{
    constexpr auto failing = static_cast<std::size_t>(symptom::failing);
    if (exam.m_severity.m_symptom != symptom::failing) {
        return false;
    }
    const auto own_share = exam.m_recent.m_observed[failing] / exam.m_recent.m_requests;
    const auto peers_share = ordinary_share(since);
    return peers_share > least_common_share && peers_share > common_part * own_share;
}

/// Whether the suspicion has lasted until the peers could show the same trouble, and they did not:
/// their reports of that time have come, and they had some requests.
bool is_confirmed(upstream_record& record, const examination& exam, const service_members& members,
                  instant now)
{
    const auto& held = record.m_standing;
    const bool was_ejected = held.m_standing != standing::healthy && held.m_ejections > 0;
    if (exam.m_severity.m_value < (was_ejected ? sick_on_trial : sick)) {
        if (record.m_doubt && now - record.m_doubt->m_renewed_at >= doubt_memory) {
            record.m_doubt.reset();
        }
        return false;
    }
    record.m_excess = exam.m_excess;
    if (!record.m_doubt) {
        record.m_doubt = begin_doubt(members, record, now);
        return false;
    }
    record.m_doubt->m_renewed_at = now;
    const auto since = answers_since(*record.m_doubt, members);
    double answers = 0;
    for (const auto& peer : since) {
        answers += peer.m_requests;
    }
    const auto passed = now - record.m_doubt->m_since;
    const auto by_peer = exam.m_severity.m_symptom == symptom::failing ? answers_by_peer_on_failures
                                                                       : answers_by_peer;
    const auto wanted = by_peer * static_cast<double>(record.m_doubt->m_peers.size());
    if (passed < confirmation_time || (answers < wanted && passed < longest_doubt)) {
        return false;
    }
    if (is_common(exam, since)) {
        record.m_doubt = begin_doubt(members, record, now);
        return false;
    }
    return true;
}

void apply(upstream_record& record, const examination& exam, const service_members& members,
           instant now)
{
    if (record.m_standing.m_standing == standing::ejected) {
        if (exam.m_answers > 0) {
            record.m_excess = exam.m_excess;
        }
    }
    else if (is_confirmed(record, exam, members, now)) {
        eject(record.m_standing, now);
    }
    note_trial_answers(record.m_standing, exam.m_answers, exam.m_severity.m_value, now);
}

void advance_standing(upstream_record& record, instant now)
{
    if (advance(record.m_standing, now) == standing_change::trial_began) {
        begin_anew(record);
    }
}

void update_service(service_record& service, std::size_t members, duration passed)
{
    const auto weight = 1 - std::exp(-to_seconds(passed) / to_seconds(rate_memory));
    const auto rate = passed > duration{} ? service.m_pending / to_seconds(passed) : 0.0;
    service.m_rate += weight * (rate - service.m_rate);
    service.m_pending = 0;
    const auto fair_rate = service.m_rate / static_cast<double>(std::max<std::size_t>(members, 1));
    service.m_trial_share =
        fair_rate > trial_rate ? std::max(least_trial_share, trial_rate / fair_rate) : 1.0;
}

std::optional<route_expectation> expected_on(std::string_view route, const service_members& members)
{
    evidence_window all;
    for (const auto* window : windows_on(route, members)) {
        for (std::size_t bucket = 0; bucket < latency_bucket_count; ++bucket) {
            all.m_latencies[bucket] += window->m_latencies[bucket];
        }
    }
    if (requests_of(all) < answers_for_expectation) {
        return std::nullopt;
    }
    const auto ordinary = upper_bound_of(quantile_bucket(all, expected_quantile));
    const auto median = upper_bound_of(quantile_bucket(all, 0.5));
    return route_expectation{from_seconds(slow_margin * to_seconds(median)),
                             std::max(least_expected, ordinary * expected_margin)};
}

void update_expectations(service_record& service, const service_members& members)
{
    for (const auto route : routes_of(members)) {
        if (const auto expected = expected_on(route, members)) {
            service.m_routes.insert_or_assign(std::string{route}, *expected);
        }
    }
}

} // namespace

void pool(health_state& state, const received_evidence& news, instant now)
{
    auto& record = state.m_upstreams[news.m_key.m_upstream];
    if (record.m_service != news.m_service) {
        record = {news.m_service};
        record.m_present_at = now;
    }
    auto [place, is_new] = record.m_routes.try_emplace(news.m_key.m_route);
    if (is_new) {
        place->second.m_window.m_decayed_at = now;
    }
    accumulate(place->second.m_pending, news.m_answers);
    const auto answers = requests_of(news.m_answers);
    record.m_totals.m_requests += answers;
    record.m_totals.m_failures += news.m_answers.m_failures;
    state.m_services[news.m_service].m_pending += answers;
}

void follow_fleet(health_state& state, const membership_state& members,
                  const configuration_state& configuration, instant now)
{
    for (const auto& [name, peer] : members.m_members) {
        if (!membership::is_usable(peer)) {
            continue;
        }
        const auto& latest = peer.m_latest;
        for (const auto& summary : latest.m_upstreams) {
            auto& record = state.m_upstreams[{name, summary.m_endpoint}];
            if (record.m_service != summary.m_service) {
                record = {summary.m_service};
            }
            record.m_present_at = now;
            const bool is_out = configuration::is_datacentre_out(configuration, summary.m_service,
                                                                 latest.m_datacentre);
            if (record.m_is_out && !is_out && record.m_standing.m_standing == standing::healthy) {
                begin_ramp(record.m_standing, now);
            }
            record.m_is_out = is_out;
        }
    }
    std::erase_if(state.m_upstreams, [now](const auto& entry) {
        return now - entry.second.m_present_at > record_lifetime;
    });
}

void judge(health_state& state, context& surroundings)
{
    for (auto& [service, members] : members_by_service(state)) {
        auto& whole = state.m_services[std::string{service}];
        const bool has_news = whole.m_pending > 0 || has_doubt(members);
        const auto exams = has_news ? examine_anew(members, state.m_now) : no_news(members);
        for (std::size_t index = 0; index < exams.size(); ++index) {
            auto& [upstream, record] = members[index];
            const auto before = record->m_standing.m_standing;
            if (has_news) {
                apply(*record, exams[index], members, state.m_now);
            }
            advance_standing(*record, state.m_now);
            if (record->m_standing.m_standing != before) {
                record_standing(surroundings, *upstream, *record);
            }
        }
        update_service(whole, members.size(), judgement_interval);
        if (has_news) {
            update_expectations(whole, members);
        }
    }
}

} // namespace chivevane::health
