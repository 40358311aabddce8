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

// Staying in the own data centre saves about a millisecond, which does not outweigh a longer queue.
constexpr double own_datacentre_preference = 1.25;

// The known queue lengths are as old as the last host record. If all hosts always chose the
// upstream with the shorter queue, they would overload it until the next host record.
constexpr double load_comparison_probability = 0.5;

/// An upstream that may be chosen, with the weight of its random choice.
struct candidate {
    upstream_location m_location;
    const upstream_summary* m_summary = nullptr;
    bool m_is_in_own_datacentre = false;
    double m_weight = 0;
};

bool was_tried(const upstream_query& query, const upstream_id& upstream)
{
    return std::find(query.m_tried.begin(), query.m_tried.end(), upstream) != query.m_tried.end();
}

/// Caches which data centres are out of use for one service, so that a choice looks up each of them
/// once.
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

/// Returns the live, serving upstreams of the service, except those in data centres that are out of
/// use.
std::vector<candidate> find_candidates(const reducer_context& context,
                                       const membership_state& members, datacentre_lookup lookup)
{
    std::vector<candidate> found;
    for (const auto& [name, peer] : members.m_members) {
        const auto& record = peer.m_record;
        if (!membership::is_usable(peer)) {
            continue;
        }
        for (const auto& summary : record.m_upstreams) {
            if (summary.m_service != lookup.m_service ||
                summary.m_phase != upstream_phase::serving || is_out(lookup, record.m_datacentre)) {
                continue;
            }
            // The process beside a departed upstream may have restarted and not know it any more.
            if (membership::is_departed(members, {name, summary.m_endpoint})) {
                continue;
            }
            const bool is_in_own_datacentre =
                record.m_datacentre == context.m_settings.m_datacentre;
            found.push_back(
                {{{name, summary.m_endpoint}, record.m_address, record.m_identity.m_incarnation},
                 &summary,
                 is_in_own_datacentre});
        }
    }
    return found;
}

/// Returns the relative share of the work that a candidate gets: its capacity, reduced by its
/// health status.
double weight_of(const candidate& each, const health::health_assessment& assessment,
                 idempotency request_idempotency)
{
    if (assessment.m_status == health::health_status::trial &&
        request_idempotency != idempotency::idempotent) {
        return 0;
    }
    const auto capacity = std::max(1U, each.m_summary->m_concurrency);
    const auto preference = each.m_is_in_own_datacentre ? own_datacentre_preference : 1.0;
    return assessment.m_share * capacity * preference;
}

void assign_weights(std::vector<candidate>& candidates, const health_state& health, double floor,
                    idempotency request_idempotency, instant now)
{
    std::vector<health::floor_candidate> floor_candidates;
    for (const auto& each : candidates) {
        const auto& upstream = each.m_location.m_upstream;
        floor_candidates.push_back({&upstream, static_cast<double>(each.m_summary->m_slots),
                                    health::assessment_before_floor(health, upstream, now),
                                    health::excess_of(health, upstream, now)});
    }
    health::enforce_capacity_floor(floor_candidates, floor);
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        candidates[index].m_weight =
            weight_of(candidates[index], floor_candidates[index].m_assessment, request_idempotency);
    }
}

/// Picks one candidate with a probability in proportion to its weight.
const candidate& pick_weighted(random_engine& engine, const std::vector<candidate>& candidates)
{
    double total = 0;
    for (const auto& each : candidates) {
        total += each.m_weight;
    }
    auto remaining_weight = uniform_fraction(engine) * total;
    for (const auto& each : candidates) {
        remaining_weight -= each.m_weight;
        if (remaining_weight < 0) {
            return each;
        }
    }
    return candidates.back();
}

/// Returns the queue length divided by the concurrency limit.
double relative_queue_length(const candidate& each)
{
    return each.m_summary->m_queued /
           static_cast<double>(std::max(1U, each.m_summary->m_concurrency));
}

bool is_less_loaded(const candidate& left, const candidate& right)
{
    return relative_queue_length(left) < relative_queue_length(right);
}

/// Returns the candidates that the attempt may go to, with their weights.
std::vector<candidate> choosable_candidates(const reducer_context& context,
                                            const membership_state& members,
                                            const health_state& health,
                                            const configuration_state& configuration,
                                            const upstream_query& query)
{
    auto candidates = find_candidates(context, members, {configuration, query.m_service});
    assign_weights(candidates, health, health::capacity_floor_of(configuration, query.m_service),
                   query.m_idempotency, context.m_now);
    std::erase_if(candidates, [](const candidate& each) { return each.m_weight <= 0; });
    const auto first_tried = std::stable_partition(
        candidates.begin(), candidates.end(),
        [&query](const candidate& each) { return !was_tried(query, each.m_location.m_upstream); });
    if (first_tried != candidates.begin()) {
        candidates.erase(first_tried, candidates.end());
    }
    return candidates;
}

} // namespace

std::vector<serving_upstream> find_upstreams(const reducer_context& context,
                                             const membership_state& members,
                                             const configuration_state& configuration,
                                             std::string_view service)
{
    std::vector<serving_upstream> found;
    for (auto& each : find_candidates(context, members, {configuration, service})) {
        const auto slots = static_cast<double>(std::max(1U, each.m_summary->m_slots));
        found.push_back({std::move(each.m_location), slots, each.m_is_in_own_datacentre});
    }
    return found;
}

std::optional<upstream_location> choose_upstream(reducer_context& context,
                                                 const membership_state& members,
                                                 const health_state& health,
                                                 const configuration_state& configuration,
                                                 const upstream_query& query)
{
    const auto candidates = choosable_candidates(context, members, health, configuration, query);
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto& first = pick_weighted(context.m_random, candidates);
    const auto& second = pick_weighted(context.m_random, candidates);
    const bool may_compare = uniform_fraction(context.m_random) < load_comparison_probability;
    return may_compare && is_less_loaded(second, first) ? second.m_location : first.m_location;
}

std::vector<choice_probability> choice_probabilities(const reducer_context& context,
                                                     const membership_state& members,
                                                     const health_state& health,
                                                     const configuration_state& configuration,
                                                     const upstream_query& query)
{
    const auto candidates = choosable_candidates(context, members, health, configuration, query);
    double total = 0;
    for (const auto& each : candidates) {
        total += each.m_weight;
    }
    std::vector<choice_probability> choices;
    for (const auto& each : candidates) {
        // The chance that the comparison with another pick is won, less the chance that it is lost.
        double balance = 0;
        for (const auto& other : candidates) {
            const auto share = other.m_weight / total;
            balance += is_less_loaded(each, other) ? share : 0;
            balance -= is_less_loaded(other, each) ? share : 0;
        }
        choices.push_back({each.m_location.m_upstream,
                           each.m_weight / total * (1 + load_comparison_probability * balance)});
    }
    return choices;
}

} // namespace chivevane::routing
