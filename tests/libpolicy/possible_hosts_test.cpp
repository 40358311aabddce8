#include "libpolicy/membership/possible_hosts.h"

#include "libpolicy/fleet_fixture.h"
#include "libpolicy/host_fixture.h"
#include "libpolicy/ingress/probing.h"

#include <boost/test/unit_test.hpp>

using namespace chivevane;
using namespace chivevane::test;
using namespace chivevane::test::control;

/// The number of hosts by which limits over all hosts are divided.
BOOST_AUTO_TEST_SUITE(possible_host_counts)

namespace {

std::size_t count_seen_by(const fleet& hosts, std::size_t viewer)
{
    return membership::count_possible_hosts(hosts.state_of(viewer).m_membership);
}

double retry_reserve_of(fleet& hosts, std::size_t index)
{
    const auto& host = hosts.state_of(index);
    auto settings = host.m_settings;
    settings.m_placement = placement_mode::probing;
    random_engine engine;
    std::uint64_t last_id = 0;
    effect_list effects;
    const reducer_context context{hosts.m_now, 0, settings, engine, last_id, effects};
    return ingress::probing::retry_budget_settings_of(host, context).m_max_retries;
}

} // namespace

/// Guards against hosts that each take the whole of a limit because they are cut off alone.
BOOST_AUTO_TEST_CASE(hosts_that_are_cut_off_do_not_take_the_shares_of_the_others)
{
    fleet hosts{9, 1};
    hosts.start_all();
    hosts.run_for(10s);
    const auto reserve = retry_reserve_of(hosts, 0);
    hosts.m_drops_messages = [](std::size_t from, std::size_t to) { return from != to; };
    hosts.run_for(60s);
    double sum = 0;
    for (std::size_t index = 0; index < hosts.m_hosts.size(); ++index) {
        BOOST_TEST(count_seen_by(hosts, index) == 9U);
        sum += retry_reserve_of(hosts, index);
    }
    BOOST_TEST(sum <= reserve * 9 * 1.001);
}

/// Guards against shares that are lost for ever with hosts that are gone.
BOOST_AUTO_TEST_CASE(hosts_that_left_or_that_the_store_lists_no_more_are_not_counted)
{
    fleet hosts{9, 1};
    hosts.start_all();
    hosts.run_for(60s); // All are registered by then.
    hosts.feed(3, leave_requested{});
    hosts.run_for(2s);
    BOOST_TEST(count_seen_by(hosts, 0) == 8U);
    hosts.kill(4);
    hosts.run_for(30s);
    BOOST_TEST(count_seen_by(hosts, 0) == 8U);
    hosts.run_for(5min);
    BOOST_TEST(count_seen_by(hosts, 0) == 7U);
}

BOOST_AUTO_TEST_SUITE_END()
