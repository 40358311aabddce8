#include "libbase/digest.h"
#include "libdocument/parse_document.h"
#include "libpolicy/configuration/document_record.h"
#include "libpolicy/configuration/document_transfer.h"
#include "libpolicy/configuration/document_write.h"
#include "libpolicy/configuration/store_reader.h"
#include "libpolicy/count_from_environment.h"
#include "libpolicy/fleet_fixture.h"
#include "libpolicy/host_fixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <string>
#include <vector>

using namespace chivevane;
using namespace chivevane::test;
using namespace chivevane::test::control;

namespace {

const std::string document_name = "blackmorass";
constexpr std::size_t host_count = 82;

/// The time in which a change has to be in force on all hosts that work normally.
constexpr duration apply_limit = 2s;

/// The time after the end of an outage within which earlier changes have to be in force.
constexpr duration calm_period = 3s;

/// Hosts with the settings of platform/settings.yaml.template, whose documents are written by
/// somebody else than the hosts.
fleet make_fleet(std::uint64_t seed)
{
    fleet hosts{host_count, seed};
    for (auto& each : hosts.m_hosts) {
        auto& settings = each.m_settings;
        settings.m_unconfirmed_documents_policy = unconfirmed_documents_policy::serve;
        settings.m_rate_mode = rate_mode::metered;
        settings.m_placement = placement_mode::probing;
        settings.m_watch_timeout = 8s;
        settings.m_gossip.m_round_interval = 1s;
        settings.m_gossip.m_gossip_fanout = 2;
        settings.m_gossip.m_probe_fanout = 1;
    }
    return hosts;
}

/// Writes a new revision to the store without any host taking part.
void publish(fleet& hosts, std::uint64_t revision)
{
    const stored_document document{
        document_name, revision, "edit-" + std::to_string(revision), sample_document(), {}};
    const auto written = hosts.m_store.write(store_compare_and_swap{
        configuration::store_key(document_name), revision - 1, encode_document_record(document)});
    BOOST_TEST_REQUIRE(std::holds_alternative<store_written>(written));
}

/// A document with as many routes and organisations as the largest deployments have.
std::string long_document(std::uint64_t revision)
{
    std::string text = "document: blackmorass\norganisations:\n";
    for (int number = 0; number < 190; ++number) {
        text += fmt::format("  - name: parish-{0}\n    rate: 30\n    burst: 30\n    keys:\n"
                            "      - {{name: key-1, digest: {1}}}\n",
                            number, sha256_hex(std::to_string(number)));
    }
    text += "services:\n  - name: herdbook\n    floor: 0.5\nroutes:\n";
    for (int number = 0; number < 1400; ++number) {
        text += fmt::format("  - name: route-{0}\n    host: ravo{1}.example\n"
                            "    path_prefix: /{2}/\n    service: herdbook\n    idempotent: true\n"
                            "    priority: 2\n    timeout_ms: {3}\n    attempts: 2\n",
                            number, number % 80, sha256_hex(std::to_string(number)).substr(0, 8),
                            6000 + revision);
    }
    return text;
}

/// Writes a revision of `long_document` as the adapter to the platform does, with the parsed form.
void publish_long_document(fleet& hosts, std::uint64_t revision)
{
    const stored_document stored{
        document_name, revision, "edit-" + std::to_string(revision), long_document(revision), {}};
    const auto parsed_document = parse_document(stored.m_text);
    BOOST_TEST_REQUIRE(!is_error(parsed_document));
    const auto written = hosts.m_store.write(
        store_compare_and_swap{configuration::store_key(document_name), revision - 1,
                               encode_document_transfer(stored, value_of(parsed_document))});
    BOOST_TEST_REQUIRE(std::holds_alternative<store_written>(written));
}

std::vector<std::size_t> watchers(const fleet& hosts)
{
    std::vector<std::size_t> found;
    for (std::size_t index = 0; index < host_count; ++index) {
        if (configuration::is_watcher(hosts.state_of(index).m_configuration,
                                      hosts.state_of(index).m_membership)) {
            found.push_back(index);
        }
    }
    return found;
}

/// Lets `announcer` learn of changes a little before the other watchers.
void let_learn_first(fleet& hosts, std::size_t announcer)
{
    hosts.m_watch_delay = [announcer](std::size_t host) {
        return host == announcer ? duration{} : duration{20ms};
    };
}

/// Returns the number of running hosts with an older revision than `revision`.
std::size_t count_late(const fleet& hosts, std::uint64_t revision)
{
    std::size_t late = 0;
    for (std::size_t index = 0; index < host_count; ++index) {
        const bool is_late = hosts.is_up(index) && hosts.revision(index, document_name) < revision;
        late += is_late ? 1 : 0;
    }
    return late;
}

/// A fleet that has had the first revision in force for some time.
fleet running_fleet(std::uint64_t seed)
{
    auto hosts = make_fleet(seed);
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
    auto hosts = make_fleet(1);
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

BOOST_AUTO_TEST_SUITE_END()
