#include "libpolicy/configuration/configuration.h"
#include "libpolicy/fleet_fixture.h"
#include "libpolicy/host_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace chivevane;
using namespace chivevane::test;
using namespace chivevane::test::control;

/// What a process knows after a restart of what others had withdrawn before it.
BOOST_AUTO_TEST_SUITE(restarts)

namespace {

const std::string document_name = "blackmorass";

/// Submits a document that differs from the others by `edit_id`, and waits until it is in force.
void write_document(fleet& hosts, exchange_id exchange, const std::string& edit_id,
                    std::uint64_t revision)
{
    hosts.feed(0, document_submitted{exchange, document_name,
                                     sample_document() + "# " + edit_id + "\n", revision - 1,
                                     edit_id});
    const auto is_in_force = [&] {
        for (std::size_t index = 0; index < hosts.m_hosts.size(); ++index) {
            if (hosts.revision(index, document_name) != revision) {
                return false;
            }
        }
        return true;
    };
    BOOST_TEST_REQUIRE(hosts.run_until(is_in_force, 10s));
}

} // namespace

BOOST_AUTO_TEST_CASE(a_replaced_document_is_not_in_force_again_while_the_store_is_away)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fleet hosts{12, seed};
        hosts.start_all();
        hosts.run_for(5s);
        write_document(hosts, 1, "with-key", 1);
        write_document(hosts, 2, "key-withdrawn", 2);
        hosts.m_store_mode = store_mode::unreachable;
        hosts.kill(5);
        hosts.start(5);
        for (int step = 0; step < 200; ++step) {
            hosts.run_for(50ms);
            const auto revision = hosts.revision(5, document_name);
            BOOST_TEST((revision == 0 || revision == 2));
        }
        BOOST_TEST(hosts.revision(5, document_name) == 2U);
    }
}

BOOST_AUTO_TEST_CASE(a_process_that_was_paused_does_not_serve_by_rules_that_ran_out)
{
    fleet hosts{6, 1};
    hosts.start_all();
    hosts.run_for(5s);
    write_document(hosts, 1, "with-key", 1);
    const auto& configuration = hosts.state_of(4).m_configuration;
    BOOST_TEST(configuration::may_serve(configuration, hosts.m_now));
    hosts.m_hosts[4].m_paused_until = hosts.m_now + 30s;
    hosts.run_for(30s - 1ms);
    // The first event after the pause finds that no confirmation is left, whatever the event is.
    BOOST_TEST(!configuration::may_serve(configuration, hosts.m_now));
    BOOST_TEST(
        hosts.run_until([&] { return configuration::may_serve(configuration, hosts.m_now); }, 5s));
}

BOOST_AUTO_TEST_SUITE_END()
