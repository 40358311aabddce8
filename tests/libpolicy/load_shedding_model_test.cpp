// Compares orders of load shedding in simulations of one gate and of several, and checks what
// `overload_policy::least_cost` must hold.

#include "count_from_environment.h"
#include "shedding_model.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fmt/format.h>
#include <optional>

using namespace chivevane;
using namespace chivevane::test;

namespace {

constexpr std::uint32_t urgent = 31; ///< As the ingress numbers them; calls are more urgent.
constexpr std::uint32_t less_urgent = 47;

struct named_policy {
    model_policy m_policy;
    std::string_view m_name;
};

constexpr std::array policies{named_policy{model_policy::priority, "priority"},
                              named_policy{model_policy::earliest_deadline, "earliest deadline"},
                              named_policy{model_policy::least_slack, "least slack"},
                              named_policy{model_policy::shortest_first, "shortest first"},
                              named_policy{model_policy::least_cost, "least cost"}};

/// A load that the policies are compared under.
struct scenario {
    std::string m_name;
    double m_load = 1; ///< Of the slot time, for 15 s after 10 s at 0.7.
    std::vector<model_sender> m_senders;
    std::uint32_t m_slots_left = 4; ///< Of the four of each gate.
    double m_flood = 1;             ///< How much more organisation a1 sends.
};

/// Calls, three urgent organisations and three less urgent ones, each with a route of 110 ms and
/// one of `long_run`.
std::vector<model_sender> usual_senders(duration long_run = 250ms, duration long_target = 2s,
                                        double short_factor = 1, double long_factor = 1)
{
    std::vector<model_sender> senders{{"", 17, 1, 110ms, 1s, short_factor}};
    for (const auto& [name, priority] : {std::pair{"a", urgent}, std::pair{"b", less_urgent}}) {
        for (int number = 1; number <= 3; ++number) {
            const auto organisation = fmt::format("{}{}", name, number);
            senders.push_back({organisation, priority, 1, 110ms, 1s, short_factor});
            senders.push_back({organisation, priority, 1, long_run, long_target, long_factor});
        }
    }
    return senders;
}

std::vector<scenario> scenarios()
{
    return {{"burst 1.7", 1.7, usual_senders()},
            {"burst 3", 3, usual_senders()},
            {"burst 6", 6, usual_senders()},
            {"half the slots", 0.9, usual_senders(), 2},
            {"organisation x 8", 0.7, usual_senders(), 4, 8},
            {"1,500 beside 110 ms", 1.7, usual_senders(1500ms, 6s)},
            {"estimates x 4, / 4", 1.7, usual_senders(250ms, 2s, 4, 0.25)},
            {"estimates / 4, x 4", 1.7, usual_senders(250ms, 2s, 0.25, 4)}};
}

bool is_any(const model_sender&)
{
    return true;
}

shedding_model run(const scenario& from, model_policy policy, std::size_t gates,
                   const std::string& flooding, double flood, std::uint64_t seed,
                   model_concurrency concurrency = model_concurrency::all_slots)
{
    shedding_model model{policy, gates, 4, from.m_senders, seed, concurrency};
    model.run_load(0.7, 10s);
    model.reset_counts();
    if (from.m_slots_left != 4) {
        model.set_slots(from.m_slots_left);
    }
    model.run_load(from.m_load, 15s, flooding, flood);
    model.drain();
    return model;
}

sender_counts total_of(const shedding_model& model, std::uint32_t priority)
{
    return model.total(
        [priority](const model_sender& sender) { return sender.m_priority == priority; });
}

sender_counts total_of(const shedding_model& model, const std::string& organisation)
{
    return model.total([&organisation](const model_sender& sender) {
        return sender.m_organisation == organisation;
    });
}

/// Share of the requests answered in time of the worst organisation of `priority`.
double worst_organisation(const shedding_model& model, std::uint32_t priority)
{
    double worst = 1;
    for (const auto& sender : model.m_senders) {
        if (sender.m_priority == priority) {
            worst = std::min(worst, total_of(model, sender.m_organisation).share_in_time());
        }
    }
    return worst;
}

/// Share of the requests answered in time of the worst sender, an organisation on one route.
double worst_sender(const shedding_model& model)
{
    double worst = 1;
    for (const auto& seconds : model.m_counts) {
        sender_counts sum;
        for (const auto& [second, counts] : seconds) {
            sum += counts;
        }
        worst = std::min(worst, sum.share_in_time());
    }
    return worst;
}

/// Seconds in which a smaller share of the requests of some priority was served than of those of a
/// less urgent one, and the largest difference.
struct inverted_seconds {
    std::size_t m_count = 0;
    double m_most = 0;
};

inverted_seconds find_inverted_seconds(const shedding_model& model)
{
    inverted_seconds found;
    for (std::int64_t second = 0; second < 15; ++second) {
        std::map<std::uint32_t, sender_counts> by_priority;
        for (std::size_t sender = 0; sender < model.m_senders.size(); ++sender) {
            if (const auto counts = model.m_counts[sender].find(second);
                counts != model.m_counts[sender].end()) {
                by_priority[model.m_senders[sender].m_priority] += counts->second;
            }
        }
        double least = 1; // Of the more urgent priorities.
        double difference = 0;
        for (const auto& [priority, counts] : by_priority) {
            difference = std::max(difference, counts.share_served() - least);
            least = std::min(least, counts.share_served());
        }
        found.m_count += difference > 0 ? 1 : 0;
        found.m_most = std::max(found.m_most, difference);
    }
    return found;
}

void check_promises(const shedding_model& model)
{
    BOOST_TEST(model.m_hopeless_starts == 0U);
    BOOST_TEST(model.m_inversions == 0U);
    BOOST_TEST((model.m_longest_hopeless_wait <= 1ms));
    BOOST_TEST(model.wasted_share() < 0.02);
    BOOST_TEST(find_inverted_seconds(model).m_count == 0U);
}

const std::uint64_t seed_count = count_from_environment("CHIVEVANE_SHED_SEEDS", 5);

} // namespace

BOOST_AUTO_TEST_SUITE(load_shedding_model)

BOOST_AUTO_TEST_CASE(policies_are_compared)
{
    for (const std::size_t gates : {1U, 6U}) {
        for (const auto& from : scenarios()) {
            BOOST_TEST_MESSAGE(fmt::format(
                "{}, {} gates: in time all / calls / urgent / less urgent, worst urgent / less "
                "urgent organisation, worst sender; work late, unserved; seconds inverted (most); "
                "hopeless starts, waits past hopeless, refused after queueing",
                from.m_name, gates));
            std::map<model_policy, double> in_time;
            for (const auto& [policy, name] : policies) {
                const auto model = run(from, policy, gates, "a1", from.m_flood, 3);
                const auto all = model.total(is_any);
                const auto inverted = find_inverted_seconds(model);
                in_time[policy] = all.share_in_time();
                BOOST_TEST_MESSAGE(fmt::format(
                    "  {:17} {:.3f} / {:.3f} / {:.3f} / {:.3f}, {:.3f} / {:.3f}, {:.3f}; {:.4f}, "
                    "{:.4f}; {} ({:.3f}); {}, {} ms, {:.3f}",
                    name, all.share_in_time(), total_of(model, 17U).share_in_time(),
                    total_of(model, urgent).share_in_time(),
                    total_of(model, less_urgent).share_in_time(), worst_organisation(model, urgent),
                    worst_organisation(model, less_urgent), worst_sender(model), model.late_share(),
                    model.wasted_share(), inverted.m_count, inverted.m_most,
                    model.m_hopeless_starts, to_milliseconds(model.m_longest_hopeless_wait),
                    static_cast<double>(model.m_shed) / static_cast<double>(all.m_asked)));
            }
            // Guards against a change by which the policy would refuse more than the default does.
            BOOST_TEST(in_time[model_policy::least_cost] > in_time[model_policy::priority],
                       from.m_name);
        }
    }
}

BOOST_AUTO_TEST_CASE(least_cost_holds_its_promises_in_overload)
{
    // Each promise guards against one way in which shedding costs callers more than it must: runs
    // that nobody waits for, urgent work behind other work, and refusals that come too late.
    for (const std::size_t gates : {1U, 6U}) {
        for (const auto& from : scenarios()) {
            for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
                BOOST_TEST_CONTEXT(from.m_name << ", " << gates << " gates, seed " << seed)
                {
                    check_promises(
                        run(from, model_policy::least_cost, gates, "a1", from.m_flood, seed));
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(least_cost_holds_its_promises_where_concurrency_is_learned)
{
    for (const auto& from : scenarios()) {
        if (from.m_name.starts_with("estimates")) {
            continue; // The concurrency is learned from run times relative to the estimates.
        }
        for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
            BOOST_TEST_CONTEXT(from.m_name << ", seed " << seed)
            {
                check_promises(run(from, model_policy::least_cost, 6, "a1", from.m_flood, seed,
                                   model_concurrency::learned));
            }
        }
    }
}

namespace {

/// What the worst organisation of `others` gets while `flooding` sends eight times its usual load,
/// over what it gets without the flood.
struct flood_result {
    double m_worst = 1;
    std::string m_organisation;
};

flood_result run_flood(model_policy policy, std::size_t gates, const std::string& flooding,
                       const std::vector<std::string>& others)
{
    const scenario calm{"flood", 0.7, usual_senders()};
    std::map<std::string, sender_counts> without;
    std::map<std::string, sender_counts> with;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        const auto calm_run = run(calm, policy, gates, flooding, 1, seed);
        const auto flood_run = run(calm, policy, gates, flooding, 8, seed);
        for (const auto& organisation : others) {
            without[organisation] += total_of(calm_run, organisation);
            with[organisation] += total_of(flood_run, organisation);
        }
    }
    flood_result result;
    for (const auto& organisation : others) {
        const auto ratio =
            with[organisation].share_in_time() / without[organisation].share_in_time();
        if (ratio < result.m_worst) {
            result = {ratio, organisation};
        }
    }
    return result;
}

boost::test_tools::assertion_result are_red_tests_run(boost::unit_test::test_unit_id)
{
    return std::getenv("CHIVEVANE_RED") != nullptr;
}

void print(std::string_view name, std::size_t gates, std::string_view flooding,
           const flood_result& result)
{
    BOOST_TEST_MESSAGE(fmt::format("flood x 8 of {}, {} gates, {}: worst {:.3f} ({}) of what it "
                                   "got without",
                                   flooding, gates, name, result.m_worst, result.m_organisation));
}

} // namespace

BOOST_AUTO_TEST_CASE(a_flood_does_not_hurt_organisations_of_its_priority_and_more_urgent_ones)
{
    for (const std::size_t gates : {1U, 6U}) {
        for (const auto& [policy, name] : policies) {
            const auto among_urgent = run_flood(policy, gates, "a1", {"", "a2", "a3"});
            const auto among_less_urgent =
                run_flood(policy, gates, "b1", {"", "a1", "a2", "a3", "b2", "b3"});
            print(name, gates, "a1", among_urgent);
            print(name, gates, "b1", among_less_urgent);
            if (policy == model_policy::least_cost) {
                BOOST_TEST(among_urgent.m_worst >= 0.95);
                BOOST_TEST(among_less_urgent.m_worst >= 0.95);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_flood_of_an_urgent_organisation_does_not_hurt_less_urgent_ones,
                     *boost::unit_test::precondition(are_red_tests_run))
{
    // Red: priority comes first, so a flood of urgent requests takes the slots of less urgent ones.
    for (const std::size_t gates : {1U, 6U}) {
        const auto result = run_flood(model_policy::least_cost, gates, "a1", {"b1", "b2", "b3"});
        print("least cost", gates, "a1", result);
        BOOST_TEST(result.m_worst >= 0.95);
    }
}

BOOST_AUTO_TEST_SUITE_END()
