#include "libsettings/parse_settings.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace chivevane;

BOOST_AUTO_TEST_SUITE(settings)

namespace {

const std::string valid_settings = R"(host: marsh-1
datacentre: marsh
ip: 127.0.1.1
ports: {caller: 8080, gate: 8081, control: 8082, admin: 8083, announce: 8084}
shared_secret: 0123456789abcdef
operator_token_file: token
store: [127.0.0.1:7000, "[::1]:7001"]
seeds: [127.0.1.2:8082]
)";

result<std::string> read_file(const std::string& path)
{
    if (path == "token") {
        return std::string{"operator-token-of-marsh\n"};
    }
    return error{error_kind::not_found, fmt::format("{} is absent.", path), "Create the file."};
}

std::vector<error> faults_of(std::string_view text)
{
    const auto parsed = parse_settings(text, read_file);
    const auto* const faults = std::get_if<std::vector<error>>(&parsed);
    return faults == nullptr ? std::vector<error>{} : *faults;
}

/// Returns `valid_settings` with the line of the field `field` replaced by `line`.
std::string with_line(std::string_view field, std::string_view line)
{
    auto text = valid_settings;
    const auto begin = text.find(std::string{"\n"} + std::string{field} + ":") + 1;
    return text.replace(begin, text.find('\n', begin) - begin, line);
}

} // namespace

BOOST_AUTO_TEST_CASE(all_settings_are_read)
{
    const auto text = valid_settings +
                      "limits: {body_bytes: 5000, head_bytes: 2048}\n"
                      "shutdown_limit_ms: 1500\ntimeline_entries: 99\nlog_level: warning\n"
                      "listen_ip: 0.0.0.0\n";
    const auto parsed = parse_settings(text, read_file);
    BOOST_TEST_REQUIRE(parsed.index() == 0);
    const auto& settings = std::get<daemon_settings>(parsed);
    const auto& policy = settings.m_policy;
    BOOST_TEST(policy.m_self.m_name == "marsh-1");
    BOOST_TEST(policy.m_datacentre == "marsh");
    BOOST_TEST((policy.m_address == host_address{"127.0.1.1", 8082, 8081, 8080, 8083}));
    BOOST_TEST((policy.m_seeds == std::vector<host_address>{{"127.0.1.2", 8082}}));
    BOOST_TEST(policy.m_shared_secret == "0123456789abcdef");
    BOOST_TEST((policy.m_shutdown_limit == 1500ms));
    BOOST_TEST(settings.m_listen_ip == "0.0.0.0");
    BOOST_TEST(settings.m_announce_port == 8084);
    BOOST_TEST(settings.m_operator_token == "operator-token-of-marsh");
    BOOST_TEST((settings.m_store_endpoints ==
                std::vector<ip_endpoint>{{"127.0.0.1", 7000}, {"::1", 7001}}));
    BOOST_TEST(settings.m_max_body_size == 5000);
    BOOST_TEST(settings.m_max_head_size == 2048);
    BOOST_TEST(settings.m_timeline_entries == 99);
    BOOST_TEST((settings.m_log_level == log_level::warning));
}

BOOST_AUTO_TEST_CASE(each_fault_has_its_kind_line_and_path)
{
    struct faulty_case {
        std::string m_text;
        error_kind m_kind;
        std::string m_place;
    };
    const std::vector<faulty_case> cases{
        {with_line("datacentre", "datacentre: a b"), error_kind::out_of_range,
         "line 2, datacentre:"},
        {with_line("ip", "ip: localhost"), error_kind::out_of_range, "line 3, ip:"},
        {with_line("ip", "other: 3"), error_kind::unknown_field, "line 3, other:"},
        {with_line("ip", "host: marsh-2"), error_kind::duplicate, "line 3, host:"},
        {with_line("ports", "# none"), error_kind::missing_field, "line 1, ports:"},
        {with_line("ports", "ports: {caller: 0, gate: 1, control: 2, admin: 3, announce: 4}"),
         error_kind::out_of_range, "line 4, ports.caller:"},
        {with_line("ports", "ports: {caller: x, gate: 1, control: 2, admin: 3, announce: 4}"),
         error_kind::wrong_type, "line 4, ports.caller:"},
        {with_line("ports", "ports: {caller: 1, gate: 1, control: 2, admin: 3, announce: 4}"),
         error_kind::duplicate, "line 4, ports:"},
        {with_line("shared_secret", "shared_secret: short"), error_kind::out_of_range,
         "line 5, shared_secret:"},
        {with_line("shared_secret", "# none"), error_kind::missing_field, "shared_secret:"},
        {valid_settings + "shared_secret_file: token\n", error_kind::duplicate,
         "line 5, shared_secret:"},
        {with_line("operator_token_file", "operator_token_file: absent"), error_kind::not_found,
         "line 6, operator_token_file: absent is absent."},
        {with_line("store", "store: 127.0.0.1:7000"), error_kind::wrong_type, "line 7, store:"},
        {with_line("store", "store: [store:7000]"), error_kind::out_of_range, "line 7, store[0]:"},
        {with_line("store", "store: [127.0.0.1:1, 127.0.0.1:1]"), error_kind::duplicate,
         "line 7, store[1]:"},
        {with_line("seeds", "seeds: [127.0.1.2]"), error_kind::out_of_range, "line 8, seeds[0]:"},
        {valid_settings + "log_level: all\n", error_kind::out_of_range, "line 9, log_level:"},
        {valid_settings + "limits: {body_bytes: -1}\n", error_kind::out_of_range,
         "line 9, limits.body_bytes:"},
        {valid_settings + "a: [\n", error_kind::syntax, "line 10:"},
        {"", error_kind::syntax, "line 1:"},
    };
    for (const auto& expected : cases) {
        const auto faults = faults_of(expected.m_text);
        const bool found = std::any_of(faults.begin(), faults.end(), [&](const error& fault) {
            return fault.m_kind == expected.m_kind &&
                   fault.m_message.find(expected.m_place) != std::string::npos &&
                   !fault.m_remedy.empty();
        });
        BOOST_TEST(found, expected.m_place
                              << " in " << expected.m_text
                              << (faults.empty() ? "no fault" : describe(faults.front())));
    }
}

BOOST_AUTO_TEST_CASE(all_faults_are_reported_at_once)
{
    const auto faults = faults_of("host: '-'\nport: 4\nlimits: 3\n");
    BOOST_TEST(faults.size() >= 7);
}

BOOST_AUTO_TEST_CASE(randomly_damaged_settings_never_crash_the_parser)
{
    BOOST_TEST(rc::check("random damage", [](unsigned place, const std::string& junk) {
        auto text = valid_settings;
        text.replace(place % text.size(), junk.size() % 9, junk);
        const auto parsed = parse_settings(text, read_file);
        const auto* const faults = std::get_if<std::vector<error>>(&parsed);
        const bool is_valid_or_has_faults = faults == nullptr || !faults->empty();
        RC_ASSERT(is_valid_or_has_faults);
    }));
}

BOOST_AUTO_TEST_CASE(fleet_settings_and_the_store_key_of_the_shared_secret_are_read)
{
    const auto text = with_line("shared_secret", "shared_secret_key: fleet/secret") +
                      "placement: probing\nstale_rules: serve\nrates: metered\nservice: tides\n"
                      "overload: least_cost\n"
                      "timing: {round_ms: 1000, receivers: 2, probes: 1, crash_report_sends: 2, "
                      "contacts: 64, start_spread_ms: 200}\n"
                      "retries: {share: 0.18, reserve: 62}\nrate_slack: 20\n"
                      "cold_tolerance: {factor: 1.5, slack: 8}\nshutdown_notice_ms: 3000\n"
                      "watch_timeout_ms: 8000\npropagation_limit_ms: 2500\n";
    const auto parsed = parse_settings(text, read_file);
    const auto* const read = std::get_if<daemon_settings>(&parsed);
    BOOST_TEST_REQUIRE((read != nullptr));
    BOOST_TEST(read->m_shared_secret_store_key == "fleet/secret");
    const auto& policy = read->m_policy;
    BOOST_TEST((policy.m_placement == placement_mode::probing));
    BOOST_TEST((policy.m_unconfirmed_documents_policy == unconfirmed_documents_policy::serve));
    BOOST_TEST((policy.m_rate_mode == rate_mode::metered));
    BOOST_TEST((policy.m_overload == overload_policy::least_cost));
    BOOST_TEST(policy.m_service == "tides");
    BOOST_TEST((policy.m_gossip == gossip_settings{1s, 2, 1, 2, 64, 200ms}));
    BOOST_TEST(policy.m_retries.m_share == 0.18);
    BOOST_TEST(policy.m_rate_slack == 20);
    BOOST_TEST((policy.m_cold_tolerance == cold_tolerance{1.5, 8}));
    BOOST_TEST((policy.m_shutdown_notice_period == 3s));
    BOOST_TEST((policy.m_watch_timeout == 8s));
    BOOST_TEST((policy.m_propagation_limit == 2500ms));
    BOOST_TEST(faults_of(text + "shared_secret: 0123456789abcdef\n").size() == 1U);
    BOOST_TEST(faults_of(valid_settings + "placement: best\n").size() == 1U);
    BOOST_TEST(faults_of(valid_settings + "overload: lowest\n").size() == 1U);
    BOOST_TEST(faults_of(valid_settings + "rate_slack: -1\n").size() == 1U);
    BOOST_TEST(faults_of(valid_settings + "cold_tolerance: {factor: 0.5}\n").size() == 1U);
}

// Guards against a deployment with start rates that is served by another policy than before.
BOOST_AUTO_TEST_CASE(the_overload_policy_may_depend_on_start_rates)
{
    const auto parsed =
        parse_settings(valid_settings + "overload: least_cost_if_learned\n", read_file);
    const auto* const read = std::get_if<daemon_settings>(&parsed);
    BOOST_TEST_REQUIRE(read != nullptr);
    BOOST_TEST((read->m_policy.m_overload == overload_policy::least_cost_if_learned));
    BOOST_TEST((read->m_policy.m_route_ranking == route_ranking::off));
}

// Guards against a setting that is accepted and has no effect.
BOOST_AUTO_TEST_CASE(routes_rank_requests_where_the_settings_say_so)
{
    const auto parsed = parse_settings(valid_settings + "route_ranks: if_learned\n", read_file);
    const auto* const read = std::get_if<daemon_settings>(&parsed);
    BOOST_TEST_REQUIRE(read != nullptr);
    BOOST_TEST((read->m_policy.m_route_ranking == route_ranking::if_learned));
    BOOST_TEST(faults_of(valid_settings + "route_ranks: best\n").size() == 1U);
}

BOOST_AUTO_TEST_CASE(the_overload_policy_is_priority_unless_it_is_set)
{
    for (const auto& line : {"", "overload: priority\n"}) {
        const auto parsed = parse_settings(valid_settings + line, read_file);
        const auto* const read = std::get_if<daemon_settings>(&parsed);
        BOOST_TEST_REQUIRE((read != nullptr));
        BOOST_TEST((read->m_policy.m_overload == overload_policy::priority));
    }
}

BOOST_AUTO_TEST_CASE(the_shutdown_limit_follows_from_the_time_until_the_process_is_killed)
{
    for (const auto& [line, limit] :
         {std::pair{"termination_grace_period_s: 6\n", duration{5100ms}},
          std::pair{"termination_grace_period_s: 10\n", duration{8500ms}}}) {
        const auto parsed = parse_settings(valid_settings + line, read_file);
        const auto* const read = std::get_if<daemon_settings>(&parsed);
        BOOST_TEST_REQUIRE((read != nullptr));
        BOOST_TEST((read->m_policy.m_shutdown_limit == limit));
    }
    BOOST_TEST(faults_of(valid_settings + "termination_grace_period_s: 0\n").size() == 1U);
    BOOST_TEST(faults_of(valid_settings + "termination_grace_period_s: 6\nshutdown_limit_ms: 500\n")
                   .size() == 1U);
}

// Guards against a limit that is read in another unit, left out of its bounds, or set by default.
BOOST_AUTO_TEST_CASE(the_memory_limit_is_optional_and_bounded)
{
    const auto limit_of = [](const std::string& line) {
        const auto parsed = parse_settings(valid_settings + line, read_file);
        const auto* const read = std::get_if<daemon_settings>(&parsed);
        BOOST_TEST_REQUIRE((read != nullptr));
        return read->m_memory_limit_mb;
    };
    BOOST_TEST(limit_of("") == 0U);
    BOOST_TEST(limit_of("memory_limit_mb: 32\n") == 32U);
    BOOST_TEST(limit_of("memory_limit_mb: 65536\n") == 65'536U);
    for (const auto* const value : {"0", "31", "65537", "-1", "64.5", "64MB", "many"}) {
        const auto faults =
            faults_of(fmt::format("{}memory_limit_mb: {}\n", valid_settings, value));
        BOOST_TEST(faults.size() == 1U, value);
    }
}

BOOST_AUTO_TEST_CASE(ports_may_be_given_with_an_ip_address)
{
    const auto text = with_line(
        "ports", "ports: {caller: \"127.0.1.1:8080\", gate: 8081, control: 8082, "
                 "admin: 8083, announce: 8084, ready: \"127.0.1.1:8085\", metrics: 8086}");
    const auto parsed = parse_settings(text, read_file);
    const auto* const read = std::get_if<daemon_settings>(&parsed);
    BOOST_TEST_REQUIRE((read != nullptr));
    BOOST_TEST(read->m_policy.m_address.m_caller_port == 8080);
    BOOST_TEST(read->m_readiness_port == 8085);
    BOOST_TEST(read->m_metrics_port == 8086);
    BOOST_TEST(!faults_of(with_line("ports", "ports: {caller: \"marsh:1\", gate: 8081, "
                                             "control: 8082, admin: 8083, announce: 8084}"))
                    .empty());
}

BOOST_AUTO_TEST_CASE(closed_administration_requires_no_operator_token)
{
    const auto text = with_line("operator_token_file", "administration: closed");
    const auto parsed = parse_settings(text, read_file);
    const auto* const read = std::get_if<daemon_settings>(&parsed);
    BOOST_TEST_REQUIRE((read != nullptr));
    BOOST_TEST(read->m_operator_token.empty());
}

BOOST_AUTO_TEST_SUITE_END()
