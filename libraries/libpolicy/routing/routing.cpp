#include "libpolicy/routing/routing.h"

#include "libpolicy/configuration/configuration.h"
#include "libpolicy/health/health.h"
#include "libpolicy/membership/membership.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

namespace chivevane::routing {

namespace {

constexpr double own_datacentre_preference = 1.25; // Worth a millisecond, not a queue.

// The queues are as of the last heartbeat. If all hosts always took the shorter one, they would
// overload it until the next.
constexpr double comparing_share = 0.5;

/// An upstream that may be chosen.
struct candidate {
    choice m_choice;
    const upstream_summary* m_summary = nullptr;
    bool m_is_near = false;
    double m_weight = 0;
};

bool was_tried(const question& asked, const upstream_id& upstream)
{
    return std::find(asked.m_tried.begin(), asked.m_tried.end(), upstream) != asked.m_tried.end();
}

/// Whether data centres are out for one service; each is looked up once for a choice.
struct datacentre_lookup {
    const configuration_state& m_configuration;
    std::string_view m_service;
    std::vector<std::pair<std::string_view, bool>> m_known{};
};

bool is_out(datacentre_lookup& lookup, std::string_view datacentre)
{
    for (const auto& [name, out] : lookup.m_known) {
        if (name == datacentre) {
            return out;
        }
    }
    const auto out =
        configuration::is_datacentre_out(lookup.m_configuration, lookup.m_service, datacentre);
    return lookup.m_known.emplace_back(datacentre, out).second;
}

/// The live, serving upstreams of the service outside the data centres that are out.
std::vector<candidate> find_candidates(const context& surroundings, const membership_state& members,
                                       datacentre_lookup lookup)
{
    std::vector<candidate> found;
    for (const auto& [name, peer] : members.m_members) {
        const auto& latest = peer.m_latest;
        if (!membership::is_usable(peer)) {
            continue;
        }
        for (const auto& summary : latest.m_upstreams) {
            if (summary.m_service != lookup.m_service ||
                summary.m_phase != upstream_phase::serving || is_out(lookup, latest.m_datacentre)) {
                continue;
            }
            const bool is_near = latest.m_datacentre == surroundings.m_settings.m_datacentre;
            found.push_back(
                {{{name, summary.m_endpoint}, latest.m_address, latest.m_identity.m_incarnation},
                 &summary,
                 is_near});
        }
    }
    return found;
}

/// What a candidate may get relative to others: its capacity, cut by its standing.
double weight_of(const candidate& each, const health::verdict& verdict, repeatability repeats)
{
    if (verdict.m_standing == health::standing::trial && repeats != repeatability::idempotent) {
        return 0;
    }
    const auto capacity = std::max(1U, each.m_summary->m_concurrency);
    const auto preference = each.m_is_near ? own_datacentre_preference : 1.0;
    return verdict.m_share * capacity * preference;
}

void weigh(std::vector<candidate>& candidates, const health_state& health, double floor,
           repeatability repeats, instant now)
{
    std::vector<health::floor_member> members;
    for (const auto& each : candidates) {
        const auto& upstream = each.m_choice.m_upstream;
        members.push_back({&upstream, static_cast<double>(each.m_summary->m_slots),
                           health::verdict_before_floor(health, upstream, now),
                           health::excess_of(health, upstream, now)});
    }
    health::enforce_floor(members, floor);
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        candidates[index].m_weight =
            weight_of(candidates[index], members[index].m_verdict, repeats);
    }
}

/// Picks one candidate with a probability in proportion to its weight.
const candidate& pick(random_engine& engine, const std::vector<candidate>& candidates)
{
    double total = 0;
    for (const auto& each : candidates) {
        total += each.m_weight;
    }
    auto place = uniform_fraction(engine) * total;
    for (const auto& each : candidates) {
        place -= each.m_weight;
        if (place < 0) {
            return each;
        }
    }
    return candidates.back();
}

/// Waiting requests for each one that runs at once.
double pressure_on(const candidate& each)
{
    return each.m_summary->m_queued /
           static_cast<double>(std::max(1U, each.m_summary->m_concurrency));
}

} // namespace

std::vector<serving_upstream> find_upstreams(const context& surroundings,
                                             const membership_state& members,
                                             const configuration_state& configuration,
                                             std::string_view service)
{
    std::vector<serving_upstream> found;
    for (auto& each : find_candidates(surroundings, members, {configuration, service})) {
        const auto slots = static_cast<double>(std::max(1U, each.m_summary->m_slots));
        found.push_back({std::move(each.m_choice), slots, each.m_is_near});
    }
    return found;
}

std::optional<choice> choose_upstream(context& surroundings, const membership_state& members,
                                      const health_state& health,
                                      const configuration_state& configuration,
                                      const question& asked)
{
    auto candidates = find_candidates(surroundings, members, {configuration, asked.m_service});
    weigh(candidates, health, health::floor_of(configuration, asked.m_service),
          asked.m_repeatability, surroundings.m_now);
    std::erase_if(candidates, [](const candidate& each) { return each.m_weight <= 0; });
    const auto tried = std::stable_partition(
        candidates.begin(), candidates.end(),
        [&asked](const candidate& each) { return !was_tried(asked, each.m_choice.m_upstream); });
    if (tried != candidates.begin()) {
        candidates.erase(tried, candidates.end());
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto& first = pick(surroundings.m_random, candidates);
    const auto& second = pick(surroundings.m_random, candidates);
    const bool may_compare = uniform_fraction(surroundings.m_random) < comparing_share;
    const bool is_less_loaded = pressure_on(second) < pressure_on(first);
    return may_compare && is_less_loaded ? second.m_choice : first.m_choice;
}

} // namespace chivevane::routing
