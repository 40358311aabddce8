#include "platform/operator_fleet.h"

#include "platform/wire_names.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <charconv>
#include <fmt/format.h>

namespace chivevane::platform::test {

namespace {

constexpr std::string_view document_name = "operator";

/// The limit within which a change has to be in force, and which the hosts are configured with.
constexpr duration apply_limit = 2s;

const document_in_force* find_document(const chivevane::test::control::fleet& hosts,
                                       std::size_t host)
{
    const auto& documents = hosts.state_of(host).m_configuration.m_documents;
    const auto found = documents.find(document_name);
    return found == documents.end() ? nullptr : &found->second;
}

} // namespace

operator_fleet::operator_fleet(std::size_t host_count, std::uint64_t seed)
    : m_hosts(host_count, seed), m_processes(host_count)
{
    for (auto& host : m_hosts.m_hosts) {
        auto& settings = host.m_settings;
        settings.m_unconfirmed_documents_policy = unconfirmed_documents_policy::serve;
        settings.m_rate_mode = rate_mode::metered;
        settings.m_placement = placement_mode::probing;
        settings.m_watch_timeout = 8s;
        settings.m_propagation_limit = apply_limit;
        settings.m_gossip = {1s, 2, 1, 2, 4, 200ms};
    }
    m_hosts.m_run_document_call = [this](std::size_t host, const call_store& call) {
        run_call(host, call);
    };
    m_hosts.m_after_event = [this](std::size_t host) {
        m_store.answer_watches(m_hosts.m_now);
        check_version(host);
    };
}

std::shared_ptr<kv_store> operator_fleet::make_adapter()
{
    const auto transport = [this](const outgoing_request& request, transfer_handlers handlers) {
        m_store.run(request, std::move(handlers), m_hosts.m_now);
    };
    return std::make_shared<kv_store>(transport, ip_endpoint{"store", 1}, 0.5,
                                      [this] { return m_hosts.m_now; });
}

void operator_fleet::start()
{
    change_configuration();
    for (auto& process : m_processes) {
        process = {make_adapter()};
    }
    m_hosts.start_all();
    const auto is_in_force = [this] { return count_outdated() == 0; };
    BOOST_TEST_REQUIRE(m_hosts.run_until(is_in_force, 10s));
    m_hosts.run_for(3s);
}

void operator_fleet::restart(std::size_t host)
{
    m_hosts.kill(host);
    m_processes[host] = {make_adapter()};
    m_hosts.start(host);
}

void operator_fleet::change_configuration()
{
    ++m_newest_version;
    rewrite_configuration();
}

void operator_fleet::rewrite()
{
    rewrite_configuration();
    rewrite_evacuations();
}

void operator_fleet::rewrite_evacuations()
{
    std::vector<std::string> unwanted;
    for (const auto& [key, item] : m_store.current().m_items) {
        const bool is_evacuation = key.starts_with(evacuation_prefix);
        const auto datacentre =
            is_evacuation ? key.substr(evacuation_prefix.size()) : std::string{};
        if (is_evacuation &&
            !std::binary_search(m_evacuated.begin(), m_evacuated.end(), datacentre)) {
            unwanted.push_back(key);
        }
    }
    for (const auto& key : unwanted) {
        m_store.remove(key);
    }
    for (const auto& datacentre : m_evacuated) {
        m_store.put("op/evacuate/" + datacentre, "{}");
    }
}

void operator_fleet::evacuate(const std::string& datacentre)
{
    m_evacuated.insert(std::lower_bound(m_evacuated.begin(), m_evacuated.end(), datacentre),
                       datacentre);
    m_store.put("op/evacuate/" + datacentre, "{}");
}

void operator_fleet::end_evacuation(const std::string& datacentre)
{
    std::erase(m_evacuated, datacentre);
    m_store.remove("op/evacuate/" + datacentre);
}

std::uint64_t operator_fleet::version_on(std::size_t host) const
{
    const auto* const held = find_document(m_hosts, host);
    if (held == nullptr) {
        return 0;
    }
    const std::string_view text = held->m_stored.m_edit_id;
    std::uint64_t version = 0;
    std::from_chars(text.data() + 1, text.data() + text.size(), version);
    return version;
}

std::size_t operator_fleet::count_outdated() const
{
    std::size_t outdated = 0;
    for (std::size_t host = 0; host < m_processes.size(); ++host) {
        const auto* const held = find_document(m_hosts, host);
        outdated += version_on(host) != m_newest_version ||
                            held->m_document->m_datacentres_out != m_evacuated
                        ? 1
                        : 0;
    }
    return outdated;
}

void operator_fleet::run_call(std::size_t host, const call_store& call)
{
    const auto run = m_hosts.m_hosts[host].m_run;
    m_processes[host].m_adapter->run(
        call.m_operation, [this, host, run, id = call.m_operation_id,
                           purpose = call.m_purpose](store_outcome outcome) {
            if (m_hosts.is_up(host) && m_hosts.m_hosts[host].m_run == run) {
                m_hosts.answer_call(host, {id, purpose, std::move(outcome)});
            }
        });
}

void operator_fleet::check_version(std::size_t host)
{
    auto& known = m_processes[host].m_version;
    const auto version = version_on(host);
    m_regressions += version < known ? 1 : 0;
    known = version;
}

void operator_fleet::rewrite_configuration()
{
    m_store.put("op/config",
                fmt::format(R"({{"version":"r{0}","routes":{{"r-{0}":{{"prefix":"/v{0}/",)"
                            R"("service":"permits"}}}},"services":{{"permits":{{}}}}}})",
                            m_newest_version));
}

} // namespace chivevane::platform::test
