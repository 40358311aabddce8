#include "libpolicy/change_delay_fixture.h"

#include "libbase/digest.h"
#include "libdocument/parse_document.h"
#include "libpolicy/configuration/document_record.h"
#include "libpolicy/configuration/document_transfer.h"
#include "libpolicy/configuration/document_write.h"
#include "libpolicy/configuration/store_reader.h"
#include "libpolicy/host_fixture.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

namespace chivevane::test::control {

namespace {

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

} // namespace

const std::string document_name = "blackmorass";

fleet make_platform_fleet(std::size_t host_count, std::uint64_t seed, duration propagation_limit)
{
    fleet hosts{host_count, seed};
    for (auto& each : hosts.m_hosts) {
        auto& settings = each.m_settings;
        settings.m_unconfirmed_documents_policy = unconfirmed_documents_policy::serve;
        settings.m_rate_mode = rate_mode::metered;
        settings.m_placement = placement_mode::probing;
        settings.m_watch_timeout = 8s;
        settings.m_propagation_limit = propagation_limit;
        settings.m_gossip.m_round_interval = 1s;
        settings.m_gossip.m_gossip_fanout = 2;
        settings.m_gossip.m_probe_fanout = 1;
    }
    return hosts;
}

void publish(fleet& hosts, std::uint64_t revision)
{
    const stored_document document{
        document_name, revision, "edit-" + std::to_string(revision), sample_document(), {}};
    const auto written = hosts.m_store.write(store_compare_and_swap{
        configuration::store_key(document_name), revision - 1, encode_document_record(document)});
    BOOST_TEST_REQUIRE(std::holds_alternative<store_written>(written));
}

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
    for (std::size_t index = 0; index < hosts.m_hosts.size(); ++index) {
        if (hosts.is_up(index) && configuration::is_watcher(hosts.state_of(index).m_configuration,
                                                            hosts.state_of(index).m_membership)) {
            found.push_back(index);
        }
    }
    return found;
}

bool is_late(const fleet& hosts, std::size_t host, std::uint64_t revision)
{
    return hosts.is_up(host) && hosts.revision(host, document_name) < revision;
}

std::size_t count_late(const fleet& hosts, std::uint64_t revision)
{
    std::size_t late = 0;
    for (std::size_t index = 0; index < hosts.m_hosts.size(); ++index) {
        late += is_late(hosts, index, revision) ? 1 : 0;
    }
    return late;
}

} // namespace chivevane::test::control
