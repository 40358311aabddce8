#include "libpolicy/count_from_environment.h"
#include "libpolicy/limits_fleet.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace chivevane;
using namespace chivevane::test;

namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t default_seeds = 250; // Each takes ten times as long with sanitizers.
#else
constexpr std::uint64_t default_seeds = 2000;
#endif
constexpr duration schedule_length = 11s;
constexpr double rounding_slack = 1e-6;

/// The number of random schedules to run. CHIVEVANE_SEEDS sets it, and CHIVEVANE_FIRST_SEED sets
/// the first seed.
std::uint64_t seed_count()
{
    return count_from_environment("CHIVEVANE_SEEDS", default_seeds);
}

/// Returns a random one of `choices`.
template <typename Value>
Value pick(random_engine& random, std::initializer_list<Value> choices)
{
    return *(choices.begin() + random(static_cast<std::uint32_t>(choices.size())));
}

duration random_time(random_engine& random, duration longest)
{
    return from_seconds(to_seconds(longest) * uniform_fraction(random));
}

fleet_options random_options(random_engine& random, std::uint64_t seed)
{
    fleet_options options;
    options.m_hosts = 2 + random(4);
    options.m_seed = seed;
    options.m_loss = pick(random, {0.0, 0.05, 0.3});
    options.m_duplicated = pick(random, {0.0, 0.2});
    options.m_delayed = pick(random, {0.0, 0.05});
    options.m_answers_lost = pick(random, {0.0, 0.3});
    options.m_clock_error = pick(random, {0.0, 200e-6, 0.01});
    options.m_longest_delay = pick<duration>(random, {700us, 700us, 30ms});
    return options;
}

/// Injects one random fault into `fleet` now, or ends one.
void inject_fault(limits_fleet& fleet, random_engine& random)
{
    const auto victim = random(static_cast<std::uint32_t>(fleet.size()));
    const auto other = random(static_cast<std::uint32_t>(fleet.size()));
    const auto name = fleet.host(victim).m_settings.m_self.m_name;
    switch (random(10)) {
    case 0:
    case 1:
        fleet.pause(victim, random_time(random, 3s));
        break;
    case 2:
        fleet.cut(victim, other);
        break;
    case 3:
        fleet.heal();
        break;
    case 4:
        fleet.kill(victim);
        if (!fleet.is_running(name)) { // Operators may only declare a host dead when this is true.
            fleet.declare_dead(other, name);
        }
        break;
    case 5:
        fleet.replace_host(victim, pick(random, {true, false}));
        break;
    case 6:
        fleet.leave(victim);
        break;
    case 7:
        fleet.set_view(victim, other, pick(random, {member_status::dead, member_status::alive}));
        break;
    case 8:
        fleet.m_store_is_up = !fleet.m_store_is_up;
        break;
    case 9:
        fleet.cut(victim, victim == 0 ? 1 : 0);
        fleet.cut(victim == 0 ? 1 : 0, victim);
        break;
    }
}

/// Schedules requests far beyond the rate limit, partly steady and partly in whole bursts, at
/// random hosts.
void plan_demand(limits_fleet& fleet, random_engine& random, std::size_t organisation)
{
    const auto limit = fleet.m_organisations[organisation].m_limit;
    auto at = random_time(random, 500ms);
    while (at < schedule_length) {
        const auto burst = static_cast<std::size_t>(limit.m_burst * pick(random, {0.5, 1.0, 1.5}));
        const auto host = random(static_cast<std::uint32_t>(fleet.size()));
        const auto gap = random_time(random, pick<duration>(random, {0us, 20ms, 500ms})) /
                         static_cast<int>(burst + 1);
        for (std::size_t i = 0; i <= burst; ++i) {
            fleet.schedule(at, [&fleet, &random, host, organisation] {
                const bool is_elsewhere = random(4) == 0;
                const auto chosen =
                    is_elsewhere ? random(static_cast<std::uint32_t>(fleet.size())) : host;
                fleet.request(chosen, organisation);
            });
            at += gap;
        }
        at += random_time(random, from_seconds(1.5 * limit.m_burst / limit.m_rate));
    }
}

std::vector<duration> starts_of(const limits_fleet& fleet, std::size_t organisation)
{
    std::vector<duration> starts;
    for (const auto& request : fleet.m_requests) {
        if (request.m_organisation == organisation && request.m_is_granted) {
            starts.push_back(request.m_decided_at);
        }
    }
    std::sort(starts.begin(), starts.end());
    return starts;
}

struct schedule_outcome {
    double m_excess = -1e9; ///< Largest excess over all organisations and windows, in requests.
    std::size_t m_started = 0;
};

schedule_outcome run_random_schedule(std::uint64_t seed)
{
    random_engine random{seed};
    const auto options = random_options(random, seed);
    limits_fleet fleet{options};
    std::vector<rate_limit> bounds;
    for (std::size_t i = 0; i < 3; ++i) {
        const double rate = pick(random, {1.0, 5.0, 40.0, 100.0});
        const rate_limit limit{rate, pick(random, {1.0, 5.0, rate, 2 * rate})};
        fleet.m_organisations.push_back({fmt::format("permits/org-{}", i), limit});
        plan_demand(fleet, random, i);
        bounds.push_back(limit);
    }
    if (random(5) == 0) { // When a limit changes, the larger of both rates and bursts is allowed.
        const rate_limit changed{pick(random, {2.0, 60.0}), pick(random, {3.0, 60.0})};
        bounds[0] = {std::max(bounds[0].m_rate, changed.m_rate),
                     std::max(bounds[0].m_burst, changed.m_burst)};
        fleet.schedule(4s, [&fleet, changed] { fleet.m_organisations[0].m_limit = changed; });
    }
    for (int i = 0; i < 8; ++i) {
        fleet.schedule(random_time(random, schedule_length / 2),
                       [&] { inject_fault(fleet, random); });
    }
    fleet.start_with_equal_shares();
    fleet.run_until(schedule_length);
    schedule_outcome outcome;
    for (std::size_t i = 0; i < bounds.size(); ++i) {
        // The limits allow for clocks that are off by up to 200 ppm when tokens are refilled.
        // Larger errors only test the timing of leases here, so they raise the bound.
        const double fast_clock = options.m_clock_error > 200e-6 ? 1 + options.m_clock_error : 1;
        bounds[i].m_rate *= fast_clock;
        const auto starts = starts_of(fleet, i);
        outcome.m_started += starts.size();
        outcome.m_excess = std::max(outcome.m_excess, largest_excess(starts, bounds[i]));
    }
    return outcome;
}

} // namespace

BOOST_AUTO_TEST_SUITE(limits_never_exceeded)

BOOST_AUTO_TEST_CASE(the_incremental_check_agrees_with_all_windows)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        random_engine random{seed};
        const rate_limit limit{5, 1.0 + random(5)};
        std::vector<duration> starts;
        duration at{};
        for (int i = 0; i < 60; ++i) {
            at += random_time(random, 300ms);
            starts.push_back(at);
        }
        double largest = -limit.m_burst;
        for (std::size_t i = 0; i < starts.size(); ++i) {
            for (std::size_t j = i; j < starts.size(); ++j) {
                const double window = to_seconds(starts[j] - starts[i]);
                const double count = static_cast<double>(j - i + 1);
                largest = std::max(largest, count - limit.m_burst - limit.m_rate * window);
            }
        }
        BOOST_TEST(largest == largest_excess(starts, limit), boost::test_tools::tolerance(1e-9));
    }
}

/// Guards against faults that let an organisation start more requests than its limit allows, such
/// as two hosts that use the same units after a partition, a pause, a restart or a lost store
/// answer.
BOOST_AUTO_TEST_CASE(no_schedule_of_faults_exceeds_a_limit)
{
    std::size_t started = 0;
    const auto first = count_from_environment("CHIVEVANE_FIRST_SEED", 1);
    for (std::uint64_t seed = first; seed < first + seed_count(); ++seed) {
        const auto outcome = run_random_schedule(seed);
        started += outcome.m_started;
        BOOST_TEST_REQUIRE(outcome.m_excess <= rounding_slack,
                           "seed " << seed << " exceeds a limit by " << outcome.m_excess);
    }
    BOOST_TEST_MESSAGE("schedules=" << seed_count() << " requests_started=" << started);
    BOOST_TEST(started > seed_count()); // Ensures that the schedules started requests at all.
}

BOOST_AUTO_TEST_SUITE_END()
