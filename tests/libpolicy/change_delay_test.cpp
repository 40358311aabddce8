#include "libbase/digest.h"
#include "libpolicy/change_delay_fixture.h"
#include "libpolicy/count_from_environment.h"
#include "libpolicy/host_fixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

using namespace chivevane;
using namespace chivevane::test;
using namespace chivevane::test::control;

namespace {

/// The time in which a change has to be in force on all hosts that work normally.
constexpr duration apply_limit = 2s;

/// The time after the end of an outage within which earlier changes have to be in force.
constexpr duration calm_period = 3s;

constexpr std::size_t host_count = 82;

/// Lets `announcer` learn of changes a little before the other watchers.
void let_learn_first(fleet& hosts, std::size_t announcer)
{
    hosts.m_watch_delay = [announcer](std::size_t host) {
        return host == announcer ? duration{} : duration{20ms};
    };
}

/// A fleet that has had the first revision in force for some time.
fleet running_fleet(std::uint64_t seed)
{
    auto hosts = make_platform_fleet(host_count, seed, apply_limit);
    publish(hosts, 1);
    hosts.start_all();
    hosts.run_for(12s);
    BOOST_TEST_REQUIRE(count_late(hosts, 1) == 0U);
    return hosts;
}

std::uint64_t seed_count()
{
    return count_from_environment("CHIVEVANE_DELAY_SEEDS", 30);
}

/// Makes `name` a member of the host's data centre and lets it announce a revision.
effect_list announce_revision(host_fixture& host, const std::string& name, std::uint64_t revision)
{
    host_record record;
    record.m_identity = {name, 1};
    record.m_datacentre = host.m_host_state.m_settings.m_datacentre;
    record.m_address.m_ip = name;
    record.m_version = 1;
    host.feed(datagram_received{record.m_identity, 1, {}, record});
    return host.feed(datagram_received{
        record.m_identity, 2, {}, document_revisions{{{document_name, revision, 0}}}});
}

/// Returns the addresses of the hosts that `effects` fetch the document from.
std::vector<std::string> fetched_from(const effect_list& effects)
{
    std::vector<std::string> ips;
    for (const auto& each : effects_of_type<fetch_document>(effects)) {
        ips.push_back(each.m_from.m_ip);
    }
    return ips;
}

} // namespace

BOOST_AUTO_TEST_SUITE(change_delay)

BOOST_AUTO_TEST_CASE(a_second_announcer_is_asked_when_the_first_is_silent_or_fails)
{
    const std::vector<std::string> nobody;
    const std::vector<std::string> first{"first"};
    const std::vector<std::string> second{"second"};
    for (const bool is_silent : {true, false}) {
        host_fixture host;
        BOOST_TEST(fetched_from(announce_revision(host, "first", 2)) == first);
        BOOST_TEST(fetched_from(announce_revision(host, "second", 2)) == nobody);
        const auto failure = document_fetched{document_name, {}, nullptr, {"first"}};
        const auto effects = is_silent ? host.advance(500ms) : host.feed(failure);
        BOOST_TEST(fetched_from(effects) == second);
    }
}

BOOST_AUTO_TEST_CASE(a_change_is_not_late_where_its_first_announcer_cannot_be_reached)
{
    std::size_t late = 0;
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        auto hosts = running_fleet(seed);
        const auto announcer = watchers(hosts).at(seed % 6);
        hosts.m_drops_messages = [announcer](std::size_t, std::size_t to) {
            return to == announcer;
        };
        let_learn_first(hosts, announcer);
        publish(hosts, 2);
        hosts.run_for(apply_limit);
        late += count_late(hosts, 2);
    }
    BOOST_TEST(late == 0U);
}

BOOST_AUTO_TEST_CASE(a_change_is_not_late_where_its_first_announcer_loses_power)
{
    std::size_t late = 0;
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        auto hosts = running_fleet(seed);
        const auto announcer = watchers(hosts).at(seed % 6);
        let_learn_first(hosts, announcer);
        publish(hosts, 2);
        BOOST_TEST_REQUIRE(hosts.run_until(
            [&] { return hosts.revision(announcer, document_name) == 2; }, apply_limit));
        hosts.kill(announcer);
        hosts.run_for(apply_limit);
        late += count_late(hosts, 2);
    }
    BOOST_TEST(late == 0U);
}

BOOST_AUTO_TEST_CASE(a_change_is_not_late_after_an_outage_of_the_store)
{
    std::size_t late = 0;
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        auto hosts = running_fleet(seed);
        hosts.m_store_mode = store_mode::unreachable;
        hosts.cut_watches();
        hosts.run_for(std::chrono::seconds{3 + seed % 10});
        hosts.m_store_mode = store_mode::up;
        publish(hosts, 2);
        hosts.run_for(calm_period);
        late += count_late(hosts, 2);
    }
    BOOST_TEST(late == 0U);
}

BOOST_AUTO_TEST_CASE(a_change_is_not_late_where_all_watchers_are_hidden_from_the_store)
{
    std::size_t late = 0;
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        auto hosts = running_fleet(seed);
        const auto hidden = watchers(hosts);
        hosts.m_is_partitioned_from_store = [hidden](std::size_t host) {
            return std::find(hidden.begin(), hidden.end(), host) != hidden.end();
        };
        hosts.cut_watches();
        hosts.run_for(calm_period);
        publish(hosts, 2);
        hosts.run_for(apply_limit);
        late += count_late(hosts, 2);
    }
    BOOST_TEST(late == 0U);
}

/// Guards against changes that are late since each host parses the whole text again and watchers
/// send it to dozens of hosts: a change every third of a second, on hosts with a tenth of a core
/// and links of 12 Mbit/s.
BOOST_AUTO_TEST_CASE(quick_changes_of_a_long_document_are_not_late_on_slow_hosts)
{
    constexpr duration change_interval = 330ms;
    constexpr duration large_apply_limit = 3s;
    constexpr std::uint64_t change_count = 12;
    constexpr auto steps_per_limit =
        static_cast<std::uint64_t>(large_apply_limit / change_interval);
    auto hosts = make_platform_fleet(host_count, 1, apply_limit);
    hosts.m_document_costs = document_costs{1.5e6, 0.3e6};
    publish_long_document(hosts, 1);
    hosts.start_all();
    hosts.run_for(12s);
    BOOST_TEST_REQUIRE(count_late(hosts, 1) == 0U);
    std::size_t late = 0;
    for (std::uint64_t step = 1; step < change_count + steps_per_limit; ++step) {
        if (step <= change_count) {
            publish_long_document(hosts, 1 + step);
        }
        hosts.run_for(change_interval);
        late += step < steps_per_limit ? 0 : count_late(hosts, 2 + step - steps_per_limit);
    }
    BOOST_TEST_MESSAGE("hosts that were late: " << late);
    BOOST_TEST(late == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(silent_store)

/// Guards against changes that nobody notices while the store answers no call of any watcher,
/// though it answers other hosts: the connections stay open, so nothing fails for seconds.
BOOST_AUTO_TEST_CASE(a_change_is_not_late_where_the_store_is_silent_to_all_watchers)
{
    std::size_t late = 0;
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        auto hosts = running_fleet(seed);
        const auto ignored = watchers(hosts);
        hosts.m_is_ignored_by_store = [ignored](std::size_t host) {
            return std::find(ignored.begin(), ignored.end(), host) != ignored.end();
        };
        publish(hosts, 2);
        hosts.run_for(apply_limit);
        late += count_late(hosts, 2);
    }
    BOOST_TEST_MESSAGE("hosts that were late: " << late);
    BOOST_TEST(late == 0U);
}

/// Guards against successors of the watchers that notice as late as they that the store is silent.
BOOST_AUTO_TEST_CASE(a_change_is_in_force_soon_where_the_store_is_silent_to_half_of_the_hosts)
{
    constexpr duration allowance_while_store_is_disturbed = 5s;
    std::size_t late = 0;
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        auto hosts = running_fleet(seed);
        const auto ignored = watchers(hosts);
        hosts.m_is_ignored_by_store = [ignored, seed](std::size_t host) {
            const bool is_watcher =
                std::find(ignored.begin(), ignored.end(), host) != ignored.end();
            return is_watcher || stable_hash(std::to_string(host), seed) % 2 == 0;
        };
        publish(hosts, 2);
        hosts.run_for(apply_limit + allowance_while_store_is_disturbed);
        late += count_late(hosts, 2);
    }
    BOOST_TEST_MESSAGE("hosts that were late: " << late);
    BOOST_TEST(late == 0U);
}

/// Guards against watchers that are replaced again and again because they read answers late.
BOOST_AUTO_TEST_CASE(an_answer_that_waited_while_its_host_was_busy_is_not_overdue)
{
    auto hosts = running_fleet(1);
    const auto watcher = watchers(hosts).front();
    for (int pause = 0; pause < 5; ++pause) {
        hosts.m_hosts[watcher].m_paused_until = hosts.m_now + 1800ms;
        hosts.run_for(3s);
        const auto& configuration = hosts.state_of(watcher).m_configuration;
        BOOST_TEST((configuration.m_store_contact == store_contact::reachable));
        BOOST_TEST((configuration.m_contact_reported_at == instant{}));
    }
}

BOOST_AUTO_TEST_SUITE_END()
