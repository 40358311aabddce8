#include "libpolicy/limits_fleet.h"

#include "libpolicy/limits/holder_lease.h"

#include <boost/test/unit_test.hpp>

using namespace chivevane;
using namespace chivevane::test;

namespace {

/// A fleet of twelve hosts in three data centres with equal shares.
struct roster_fleet : limits_fleet {
    roster_fleet() : limits_fleet(fleet_options{.m_hosts = 12})
    {
        start_with_equal_shares();
        run_until(2s);
    }

    void kill_and_mark_dead(std::size_t dead)
    {
        kill(dead);
        for (std::size_t i = 0; i < size(); ++i) {
            set_view(i, dead, member_status::dead);
        }
    }

    const roster_entry* entry_of(std::size_t index) const
    {
        m_stored_roster = stored_roster();
        return limits::find_entry(m_stored_roster, {"host-" + pad(index), 1});
    }

    /// Sum of the units that running processes may use now, including those they have leased out.
    std::uint32_t usable_units()
    {
        std::uint32_t sum = 0;
        for (std::size_t i = 0; i < size(); ++i) {
            const auto& state = host(i).m_limits;
            const auto local = instant{48h + now()}; // This fleet has exact clocks.
            sum += host(i).m_is_running && limits::has_holder_lease(state, local)
                       ? state.m_roster.m_units
                       : 0;
        }
        return sum;
    }

    static std::string pad(std::size_t index)
    {
        const auto digits = std::to_string(index);
        return std::string(3 - digits.size(), '0') + digits;
    }

    mutable roster_record m_stored_roster;
};

/// Upper bound for the removal of a dead host. It covers two changes of the record and the wait for
/// holder leases, share leases and loans to expire; the fleet detects deaths at once.
constexpr duration removal_bound = 12s;

} // namespace

BOOST_FIXTURE_TEST_SUITE(limits_roster, roster_fleet)

BOOST_AUTO_TEST_CASE(a_leaving_host_releases_its_units)
{
    leave(3);
    run_until(now() + 5s);
    BOOST_TEST((entry_of(3) == nullptr));
    BOOST_TEST(limits::has_left(host(3).m_limits));
    BOOST_TEST(m_stored_roster.m_free_units == 0U);
    BOOST_TEST(usable_units() == total_units);
}

BOOST_AUTO_TEST_CASE(a_dead_host_loses_its_units_while_the_store_is_up)
{
    kill_and_mark_dead(3);
    run_until(now() + removal_bound);
    BOOST_TEST((entry_of(3) == nullptr));
    BOOST_TEST(usable_units() == total_units);
}

BOOST_AUTO_TEST_CASE(a_dead_host_keeps_its_units_until_the_store_is_available)
{
    m_store_is_up = false;
    kill_and_mark_dead(3);
    run_until(now() + 10min);
    const auto calls = m_store_calls;
    BOOST_TEST((entry_of(3) != nullptr));
    BOOST_TEST(usable_units() == total_units - entry_of(3)->m_units);
    BOOST_TEST(calls < 12U * 60U); // The backoff grows from 1 s to 32 s per host.
    m_store_is_up = true;
    run_until(now() + 48s + removal_bound); // 48 s is the longest backoff.
    BOOST_TEST((entry_of(3) == nullptr));
    BOOST_TEST(usable_units() == total_units);
}

BOOST_AUTO_TEST_CASE(a_replaced_host_loses_the_units_of_its_old_process)
{
    replace_host(3, false);
    run_until(now() + removal_bound);
    BOOST_TEST((entry_of(3) == nullptr));
    BOOST_TEST(usable_units() == total_units);
}

BOOST_AUTO_TEST_CASE(an_old_process_that_reaches_the_store_keeps_its_units)
{
    replace_host(3, true);
    for (int i = 0; i < 200; ++i) {
        run_until(now() + 100ms);
        BOOST_TEST_REQUIRE(usable_units() <= total_units);
    }
    BOOST_TEST((entry_of(3) != nullptr));
}

BOOST_AUTO_TEST_CASE(a_paused_host_loses_its_units_and_resumes_without_them)
{
    for (std::size_t i = 0; i < size(); ++i) {
        set_view(i, 3, i == 3 ? member_status::alive : member_status::dead);
    }
    pause(3, 20s);
    run_until(now() + removal_bound);
    BOOST_TEST((entry_of(3) == nullptr));
    run_until(now() + removal_bound);
    BOOST_TEST(usable_units() <= total_units);
}

BOOST_AUTO_TEST_CASE(a_lost_data_centre_loses_its_units)
{
    for (std::size_t i = 1; i < 12; i += 3) {
        kill_and_mark_dead(i);
    }
    run_until(now() + 3 * removal_bound);
    for (std::size_t i = 1; i < 12; i += 3) {
        BOOST_TEST((entry_of(i) == nullptr));
    }
    BOOST_TEST(usable_units() == total_units);
}

BOOST_AUTO_TEST_CASE(an_operator_can_free_the_units_of_a_host_without_witnesses)
{
    limits_fleet pair{fleet_options{.m_hosts = 2}}; // Two hosts are too few to have witnesses.
    pair.start_with_equal_shares();
    pair.run_until(2s);
    pair.kill(1);
    pair.set_view(0, 1, member_status::dead);
    pair.run_until(30s);
    BOOST_TEST(pair.stored_roster().m_entries.size() == 2U);
    pair.declare_dead(0, "host-001");
    pair.run_until(31s);
    BOOST_TEST(pair.stored_roster().m_entries.size() == 2U); // The leases it granted may be in use.
    pair.run_until(33s);
    BOOST_TEST(pair.host(0).m_limits.m_roster.m_units == total_units);
}

BOOST_AUTO_TEST_CASE(a_new_fleet_distributes_all_units)
{
    limits_fleet fresh{fleet_options{.m_hosts = 8}};
    for (std::size_t i = 0; i < 8; ++i) {
        fresh.start_host(i);
    }
    fresh.run_until(30s);
    const auto roster = fresh.stored_roster();
    BOOST_TEST(roster.m_entries.size() == 8U);
    for (const auto& entry : roster.m_entries) {
        BOOST_TEST(entry.m_units >= total_units / 16);
        BOOST_TEST(entry.m_units <= total_units / 4);
        BOOST_TEST(entry.m_witnesses.size() == limits::witness_count);
    }
    BOOST_TEST(fresh.m_store_calls < 8U * 60U);
}

BOOST_AUTO_TEST_CASE(a_host_without_a_share_borrows_tokens)
{
    m_store_is_up = false;
    const auto fresh = replace_host(3, false);
    m_organisations.push_back({"permits/parish", {20, 20}});
    run_until(now() + 5s);
    for (int i = 0; i < 10; ++i) {
        request(fresh, 0);
        run_until(now() + 100ms);
    }
    for (const auto& asked : m_requests) {
        BOOST_TEST(asked.m_is_granted);
    }
}

BOOST_AUTO_TEST_SUITE_END()
