#include "libpolicy/count_from_environment.h"
#include "platform/soak_schedule.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace chivevane;
using namespace chivevane::platform::test;
using chivevane::test::count_from_environment;

namespace {

/// Time in which a change has to be in force on all hosts.
constexpr duration apply_limit = 2s;

/// Time after the last trouble from which changes are held to `apply_limit`.
constexpr duration settling_time = 8s;

/// Plays a schedule on a fleet and lets it settle. CHIVEVANE_SOAK_NAMES_ERA=0 plays it with a store
/// that names no era.
void start_and_play(soak& run, std::span<const soak_event> events)
{
    run.m_fleet.m_store.m_names_era = count_from_environment("CHIVEVANE_SOAK_NAMES_ERA", 1) != 0;
    run.m_fleet.start();
    play(run, events);
    run.m_fleet.m_hosts.run_for(settling_time);
}

/// Lets the operator write all again, in its newest version or the next, and make three changes.
/// Returns the number of hosts on which one of these writes was late.
std::size_t count_late_hosts(operator_fleet& fleet, bool is_rewritten)
{
    is_rewritten ? fleet.rewrite_configuration() : fleet.change_configuration();
    fleet.rewrite_evacuations();
    fleet.m_hosts.run_for(apply_limit);
    auto late = fleet.count_outdated();
    for (int number = 0; number < 3; ++number) {
        fleet.change_configuration();
        fleet.m_hosts.run_for(apply_limit);
        late += fleet.count_outdated();
    }
    return late;
}

std::size_t host_count(std::uint64_t seed)
{
    return 12 + seed * 7 % 29;
}

/// The seeds; CHIVEVANE_SOAK_SEEDS sets another number of them.
const auto seeds = boost::unit_test::data::xrange<std::uint64_t>(
    1, 1 + count_from_environment("CHIVEVANE_SOAK_SEEDS", 4));

} // namespace

BOOST_AUTO_TEST_SUITE(store_soak)

/// Guards against orders of troubles after which hosts ignore changes.
BOOST_DATA_TEST_CASE(changes_are_in_force_after_random_troubles, seeds, seed)
{
    soak run{{host_count(seed), seed}, {}};
    start_and_play(run, draw_schedule(seed));
    BOOST_TEST(count_late_hosts(run.m_fleet, seed % 2 == 0) == 0U);
}

/// Guards against orders of troubles without restarts in which hosts undo changes.
BOOST_DATA_TEST_CASE(no_process_goes_back_to_an_older_version_without_restarts, seeds, seed)
{
    auto events = draw_schedule(seed);
    std::erase_if(events, [](const auto& event) { return event.m_label.starts_with("restart"); });
    soak run{{host_count(seed), seed}, {}};
    start_and_play(run, events);
    BOOST_TEST(count_late_hosts(run.m_fleet, seed % 2 == 0) == 0U);
    BOOST_TEST(run.m_fleet.m_regressions == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(store_soak_versions)

/// Guards against orders of troubles, with restarts, in which hosts undo changes.
BOOST_DATA_TEST_CASE(no_process_goes_back_to_an_older_version, seeds, seed)
{
    soak run{{host_count(seed), seed}, {}};
    start_and_play(run, draw_schedule(seed));
    BOOST_TEST(count_late_hosts(run.m_fleet, seed % 2 == 0) == 0U);
    BOOST_TEST(run.m_fleet.m_regressions == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
