#include "libadmin/json_text.h"
#include "libbase/digest.h"
#include "libcontrol/fake_fleet.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

using namespace chivevane;
using namespace chivevane::control;
using namespace chivevane::test;

namespace {

/// Two hosts that serve, with two upstreams on the second one.
struct explain_command_fixture : fake_fleet {
    explain_command_fixture()
    {
        for (auto& [address, host] : m_hosts) {
            host.m_settings.m_unconfirmed_documents_policy = unconfirmed_documents_policy::serve;
            host.m_settings.m_rate_mode = rate_mode::metered;
            host.m_settings.m_datacentre = "marsh";
            host.m_configuration.m_keys[sha256_hex("first")] = {{"marsh", "parish"}};
            auto& upstreams = host.m_membership.m_members["marsh-2"].m_record.m_upstreams;
            upstreams = {{"tides-1", "tides", 4, 2, 0}, {"tides-10", "tides", 16, 1, 7}};
        }
        m_options.m_explain.m_key = "first";
    }
};

/// Runs one command and records the targets of its requests.
std::vector<std::string> sent_targets(const std::vector<std::string>& words,
                                      const command_options& options)
{
    std::vector<std::string> targets;
    const session client{{"127.0.0.1:1"},
                         "t",
                         [&targets](const std::string&, const api_request& request) {
                             targets.push_back(request.m_target);
                             return api_response{200, {}, "{}"};
                         },
                         [] { return std::string{"secret-1"}; },
                         [](duration) {}};
    run_command(words, options, client, {});
    return targets;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(explain_command, explain_command_fixture)

/// Guards against output that operators or their programs read and that changes by accident. The
/// actual output is written to golden_explain.txt in the working directory.
BOOST_AUTO_TEST_CASE(explanations_match_the_golden_file)
{
    std::string output;
    for (const auto placement : {placement_mode::weighted, placement_mode::probing}) {
        for (auto& [address, host] : m_hosts) {
            host.m_settings.m_placement = placement;
        }
        for (const auto format : {output_format::text, output_format::json}) {
            m_options.m_output = format;
            for (const bool is_all : {false, true}) {
                m_options.m_explain.m_asks_all_hosts = is_all;
                const auto outcome = run({"explain", "GET", "http://marsh.example:8080/t/7?a=b"});
                BOOST_TEST((outcome.m_code == exit_code::done), outcome.m_errors);
                output += fmt::format("$ explain{}\n{}", is_all ? " --all" : "", outcome.m_output);
            }
        }
    }
    m_options = {};
    output += fmt::format("$ explain without a key\n{}", run({"explain", "GET", "/t"}).m_output);
    std::ofstream{"golden_explain.txt"} << output;
    std::ifstream stream{CHIVEVANE_SOURCE_DIR "/tests/libcontrol/golden/explain.txt"};
    std::ostringstream expected;
    expected << stream.rdbuf();
    BOOST_TEST(output == expected.str());
}

/// Guards against a key that leaves the command, and against a URL that is sent as another request.
BOOST_AUTO_TEST_CASE(only_the_digest_of_a_key_is_sent)
{
    m_options.m_explain.m_timeout_ms = 250;
    const auto targets = sent_targets({"explain", "GET", "http://a:80/t?a=b&c"}, m_options);
    const std::vector<std::string> expected{
        "/v1/explain?method=GET&path=%2Ft%3Fa%3Db%26c&host=a%3A80&key_digest=" +
        sha256_hex("first") + "&timeout_ms=250"};
    BOOST_TEST(targets == expected, boost::test_tools::per_element());
    m_options.m_explain = {"", "marsh/parish", {}, false};
    BOOST_TEST(sent_targets({"explain", "PUT", "https://a"}, m_options).at(0) ==
               "/v1/explain?method=PUT&path=%2F&host=a&organisation=marsh%2Fparish");
    BOOST_TEST(sent_targets({"explain", "PUT", "https://a?b"}, m_options).at(0) ==
               "/v1/explain?method=PUT&path=%2F%3Fb&host=a&organisation=marsh%2Fparish");
}

/// Guards against a wrong command line that reaches a host, and against other exit codes than those
/// of the other commands.
BOOST_AUTO_TEST_CASE(errors_and_exit_codes_are_those_of_the_other_commands)
{
    for (const auto* const location : {"t", "ftp://a/t", "http://", "http:///t", "http://u@a/t"}) {
        BOOST_TEST((run({"explain", "GET", location}).m_code == exit_code::bad_input), location);
        BOOST_TEST(sent_targets({"explain", "GET", location}, m_options).empty());
    }
    BOOST_TEST((run({"explain", "GET"}).m_code == exit_code::bad_input));
    m_options.m_explain.m_organisation = "parish";
    BOOST_TEST((run({"explain", "GET", "/t"}).m_code == exit_code::bad_input)); // Has a key, too.
    m_options.m_explain.m_key.clear();
    BOOST_TEST((run({"explain", "GET", "/t"}).m_code == exit_code::done));
    m_options.m_explain.m_organisation = "other";
    BOOST_TEST((run({"explain", "GET", "/t"}).m_code == exit_code::refused));
    m_options.m_explain.m_organisation = "a b";
    BOOST_TEST((run({"explain", "GET", "/t"}).m_code == exit_code::refused));
    m_options.m_explain.m_organisation.clear();
    m_token = "wrong";
    BOOST_TEST((run({"explain", "GET", "/t"}).m_code == exit_code::refused));
    m_token = "token-of-operators";
    m_addresses = {"127.0.1.9:3"};
    BOOST_TEST((run({"explain", "GET", "/t"}).m_code == exit_code::unreachable));
}

/// Guards against hosts that are left out without a word.
BOOST_AUTO_TEST_CASE(all_hosts_are_asked_and_missing_ones_are_named)
{
    m_options.m_explain.m_asks_all_hosts = true;
    m_options.m_output = output_format::json;
    const auto all = json_value::parse(run({"explain", "GET", "/t"}).m_output);
    BOOST_TEST(all["explanations"].size() == 2U);
    m_hosts.erase("127.0.1.2:3");
    const auto partial = run({"explain", "GET", "/t"});
    BOOST_TEST((partial.m_code == exit_code::incomplete));
    BOOST_TEST(partial.m_errors.starts_with("127.0.1.2:3 is missing"));
    BOOST_TEST(json_value::parse(partial.m_output)["explanations"].size() == 1U);
}

/// Guards against a response of another program that is shown as an explanation.
BOOST_AUTO_TEST_CASE(a_response_without_a_json_object_is_an_error)
{
    const session client{{"127.0.0.1:1"},
                         "t",
                         [](const std::string&, const api_request&) {
                             return api_response{200, {}, "<html>"};
                         },
                         [] { return std::string{"secret-1"}; },
                         [](duration) {}};
    const auto outcome =
        run_command(std::vector<std::string>{"explain", "GET", "/t"}, {}, client, {});
    BOOST_TEST((outcome.m_code == exit_code::refused));
}

BOOST_AUTO_TEST_SUITE_END()
