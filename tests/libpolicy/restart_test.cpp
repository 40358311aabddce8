#include "libpolicy/configuration/configuration.h"
#include "libpolicy/fleet_fixture.h"
#include "libpolicy/gate/local_upstreams.h"
#include "libpolicy/host_fixture.h"
#include "libpolicy/routing/routing.h"

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

namespace {

const std::string departing = "permits-2";

upstream_announcement announcement_of(std::uint64_t run)
{
    upstream_announcement announcement{departing, "permits", "127.0.0.1", 9000, 4};
    announcement.m_run = run;
    announcement.m_time_to_live = 9s;
    return announcement;
}

upstream_announcement departure_of(std::uint64_t run)
{
    auto departure = announcement_of(run);
    departure.m_phase = upstream_phase::draining;
    departure.m_time_to_live = {};
    return departure;
}

/// Whether any host other than `gate` would send a request to the upstream on host `gate`.
bool is_offered(fleet& hosts, std::size_t gate)
{
    for (std::size_t index = 0; index < hosts.m_hosts.size(); ++index) {
        if (index == gate || !hosts.is_up(index)) {
            continue;
        }
        const auto& viewer = hosts.state_of(index);
        random_engine engine;
        std::uint64_t last_id = 0;
        effect_list effects;
        const reducer_context context{hosts.m_now, 0, viewer.m_settings, engine, last_id, effects};
        if (!routing::find_upstreams(context, viewer.m_membership, viewer.m_configuration,
                                     "permits")
                 .empty()) {
            return true;
        }
    }
    return false;
}

bool is_served(fleet& hosts, std::size_t gate)
{
    return gate::find_serving_upstream(hosts.state_of(gate).m_gate, departing) != nullptr;
}

/// A fleet in which the upstream on host 2 has left, as acknowledged by its process.
struct departed_fleet : fleet {
    explicit departed_fleet(std::uint64_t seed) : fleet{6, seed, seeds::none}
    {
        start_all();
        run_for(8s);
        feed(2, announcement_of(100));
        run_for(2s);
        BOOST_TEST_REQUIRE(is_offered(*this, 2));
        feed(2, departure_of(100));
    }

    /// Restarts host 2, to which a late announcement of the upstream comes `late_by` after.
    void restart_with_late_announcement(duration late_by)
    {
        kill(2);
        run_for(500ms);
        start(2);
        run_for(late_by);
        feed(2, announcement_of(100));
    }
};

} // namespace

/// Guards against a late heartbeat that undoes an acknowledged departure after a restart.
BOOST_AUTO_TEST_CASE(a_departed_upstream_stays_out_of_use_when_its_process_restarts)
{
    for (const duration late_by : {duration{1ms}, duration{200ms}, duration{2s}, duration{20s}}) {
        departed_fleet hosts{7};
        hosts.m_loss = 0.1;
        hosts.run_for(300ms);
        hosts.restart_with_late_announcement(late_by);
        for (int step = 0; step < 100; ++step) {
            hosts.run_for(50ms);
            BOOST_TEST(!is_offered(hosts, 2));
            BOOST_TEST((hosts.m_now - hosts.state_of(2).m_membership.m_started_at < 3s ||
                        !is_served(hosts, 2)));
        }
    }
}

/// Guards against a departure that only processes from before a series of restarts know.
BOOST_AUTO_TEST_CASE(a_departure_is_known_after_every_process_was_restarted_in_turn)
{
    departed_fleet hosts{8};
    hosts.run_for(1s);
    for (const std::size_t restarted : {0U, 1U, 3U, 4U, 5U}) {
        hosts.kill(restarted);
        hosts.run_for(500ms);
        hosts.start(restarted);
        hosts.run_for(6s);
    }
    hosts.restart_with_late_announcement(10ms);
    hosts.run_for(3s);
    BOOST_TEST(!is_served(hosts, 2));
    BOOST_TEST(!is_offered(hosts, 2));
}

/// Guards against a departure that keeps a later run of the upstream out of use.
BOOST_AUTO_TEST_CASE(a_new_run_of_a_departed_upstream_is_in_use_at_once)
{
    departed_fleet hosts{9};
    hosts.run_for(1s);
    hosts.restart_with_late_announcement(1ms);
    hosts.feed(2, announcement_of(200));
    BOOST_TEST(is_served(hosts, 2));
    BOOST_TEST(hosts.run_until([&] { return is_offered(hosts, 2); }, 2s));
    hosts.run_for(5s);
    BOOST_TEST(is_served(hosts, 2));
}

/// Guards against a sound upstream that a restart of its process keeps out of use.
BOOST_AUTO_TEST_CASE(an_upstream_that_has_not_left_is_in_use_with_its_first_announcement)
{
    departed_fleet hosts{10};
    hosts.feed(2, announcement_of(200));
    hosts.run_for(2s);
    hosts.kill(2);
    hosts.run_for(500ms);
    hosts.start(2);
    hosts.feed(2, announcement_of(200));
    BOOST_TEST(is_served(hosts, 2));
    hosts.run_for(6s);
    BOOST_TEST(is_served(hosts, 2));
    BOOST_TEST(is_offered(hosts, 2));
}

/// Guards against an answer to a recovery request that does not fit into a datagram and gets lost.
BOOST_AUTO_TEST_CASE(every_part_of_what_a_process_recovers_fits_into_a_datagram)
{
    fleet hosts{2, 11};
    hosts.start_all();
    hosts.run_for(8s);
    const std::string long_name(120, 'n');
    std::vector<departure_entry> departures;
    for (std::uint64_t run = 0; run < 100; ++run) {
        departures.push_back({{long_name, long_name + std::to_string(run)}, run});
        for (const auto* const crashed : {"a", "b", "c", "d"}) {
            hosts.feed(0, datagram_received{
                              {"host-001", 1}, 1, {}, crash_report{run, long_name + crashed}});
        }
    }
    for (const auto& departure : departures) {
        hosts.feed(0, datagram_received{{"host-001", 1}, 1, {}, departure_report{{departure}}});
    }
    std::size_t parts = 0;
    hosts.m_on_datagram = [&parts](std::size_t, const host_address&, const datagram& sent) {
        if (std::holds_alternative<recovery_response>(sent.m_message)) {
            ++parts;
            BOOST_TEST(!is_error(encode_datagram(sent, "secret")));
        }
    };
    hosts.kill(1);
    hosts.start(1);
    hosts.run_for(2s);
    BOOST_TEST(parts > 0U);
    const auto& recovered = hosts.state_of(1);
    BOOST_TEST(recovered.m_membership.m_departures.m_departures.size() == departures.size());
    BOOST_TEST(recovered.m_gate.m_quarantine.m_suspects.size() == departures.size());
    BOOST_TEST(recovered.m_recovery.m_is_complete);
}

BOOST_AUTO_TEST_SUITE_END()
