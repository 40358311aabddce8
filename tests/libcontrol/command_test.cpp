#include "libadmin/json_text.h"
#include "libbase/digest.h"
#include "libcontrol/fake_fleet.h"
#include "libcontrol/format_text.h"
#include "libdocument/parse_document.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

using namespace chivevane;
using namespace chivevane::control;
using namespace chivevane::test;

namespace {

void check_code(const command_result& outcome, exit_code code)
{
    BOOST_TEST(static_cast<int>(outcome.m_code) == static_cast<int>(code),
               outcome.m_output << outcome.m_errors);
    BOOST_TEST(outcome.m_errors.empty() ==
                   (code == exit_code::done || code == exit_code::incomplete),
               outcome.m_errors);
}

const std::vector<std::string> out_command{"datacentre", "out", "marsh", "dike"};
const std::vector<std::string> withdraw_command{"key", "withdraw", "marsh", "parish", "first"};
const std::vector<std::string> create_command{"key", "create", "marsh", "parish", "new"};

} // namespace

BOOST_FIXTURE_TEST_SUITE(commands, fake_fleet)

BOOST_AUTO_TEST_CASE(wrong_command_lines_show_the_usage)
{
    const std::vector<std::vector<std::string>> lines{
        {},        {"other"},      {"key"},        {"key", "other"},   {"key", "create", "marsh"},
        {"apply"}, {"hosts", "x"}, {"datacentre"}, {"check", "a", "b"}};
    for (const auto& line : lines) {
        const auto outcome = run(line);
        check_code(outcome, exit_code::bad_input);
        BOOST_TEST(outcome.m_errors.find(usage()) != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(a_file_is_checked_without_a_host)
{
    m_addresses.clear();
    m_files = {{"good", initial_document()}, {"bad", "document: marsh\nx: 1\ny: 2\n"}};
    const auto good = run({"check", "good"});
    BOOST_TEST(good.m_output == "document marsh is valid: 1 organisations, 1 services, 1 routes\n");
    const auto bad = run({"check", "bad"});
    check_code(bad, exit_code::bad_input);
    BOOST_TEST(std::count(bad.m_errors.begin(), bad.m_errors.end(), '\n') == 2);
    check_code(run({"check", "absent"}), exit_code::bad_input);
    check_code(run({"apply", "bad"}), exit_code::bad_input);
    check_code(run({"apply", "good"}), exit_code::unreachable);
}

BOOST_AUTO_TEST_CASE(apply_writes_once_and_shows_the_changes)
{
    m_files["file"] = initial_document() + "datacentres_out: [dike]\n";
    const auto applied = run({"apply", "file"});
    BOOST_TEST(applied.m_output == "+ datacentre dike: out\n"
                                   "document marsh revision 2 edit secret-00001\n");
    BOOST_TEST(run({"apply", "file"}).m_output == "document marsh unchanged at revision 2\n");
    BOOST_TEST(m_writes == 1);
    m_files["new"] = "document: permits\n";
    BOOST_TEST(run({"apply", "new"}).m_output == "document permits revision 1 edit secret-00002\n");
}

BOOST_AUTO_TEST_CASE(apply_changes_nothing_on_a_revision_conflict)
{
    m_files["file"] = initial_document() + "datacentres_out: [dike]\n";
    m_faults = {write_fault::concurrent_edit};
    const auto lost = run({"apply", "file"});
    check_code(lost, exit_code::conflict);
    BOOST_TEST(lost.m_errors.find("revision 2 by now; the edit was made for revision 1") !=
               std::string::npos);
    m_options.m_expected_revision = 1;
    check_code(run({"apply", "file"}), exit_code::conflict);
    BOOST_TEST(m_writes == 0);
    m_options.m_expected_revision = 2;
    check_code(run({"apply", "file"}), exit_code::done);
}

BOOST_AUTO_TEST_CASE(get_diff_and_list_show_what_is_in_force)
{
    const auto got = run({"get", "marsh"});
    BOOST_TEST(got.m_output == initial_document());
    BOOST_TEST(got.m_errors == "revision 1 edit first-edit\n");
    m_files["file"] = initial_document() + "datacentres_out: [dike]\n";
    BOOST_TEST(run({"diff", "marsh", "file"}).m_output == "+ datacentre dike: out\n");
    check_code(run({"diff", "other", "file"}), exit_code::bad_input);
    check_code(run({"get", "other"}), exit_code::refused);
    check_code(run(std::vector<std::string>{"datacentre", "out", "other", "dike"}),
               exit_code::refused);
    m_token = "wrong";
    check_code(run({"get", "marsh"}), exit_code::refused);
}

BOOST_AUTO_TEST_CASE(a_new_key_is_shown_once_and_only_its_digest_is_stored)
{
    const auto made = run(create_command);
    BOOST_TEST(made.m_output == fmt::format("+ key parish/new: {}\n"
                                            "document marsh revision 2 edit secret-00002\n"
                                            "key cv_secret-00001\n",
                                            sha256_hex("cv_secret-00001")));
    BOOST_TEST(stored().m_text.find("cv_secret") == std::string::npos);
    BOOST_TEST(stored().m_text.find("# the office") != std::string::npos);
    check_code(run(create_command), exit_code::refused);
    check_code(run({"key", "create", "marsh", "parish", "a b"}), exit_code::bad_input);
    check_code(run({"key", "create", "marsh", "nobody", "new"}), exit_code::refused);
    m_options.m_output = output_format::json;
    const auto body = json_value::parse(run({"key", "create", "marsh", "parish", "b"}).m_output);
    BOOST_TEST(body["key"].get<std::string>().starts_with("cv_secret-"));
    BOOST_TEST(body["revision"] == 3);
    BOOST_TEST(body["changes"].size() == 1);
}

BOOST_AUTO_TEST_CASE(edits_are_retried_after_a_revision_conflict_except_key_creation)
{
    using enum write_fault;
    m_faults = {concurrent_edit, concurrent_edit};
    check_code(run(withdraw_command), exit_code::done);
    BOOST_TEST(stored().m_revision == 4);
    BOOST_TEST(stored().m_text.find("first") == std::string::npos);
    BOOST_TEST(stored().m_text.find("elsewhere") != std::string::npos);
    check_code(run(withdraw_command), exit_code::refused);

    m_faults = {concurrent_edit};
    check_code(run(create_command), exit_code::conflict);
    m_faults = {concurrent_edit, concurrent_edit, concurrent_edit, concurrent_edit,
                concurrent_edit};
    check_code(run(out_command), exit_code::conflict);
    check_code(run(out_command), exit_code::done);
    BOOST_TEST(run(out_command).m_output.find("unchanged") != std::string::npos);
    check_code(run({"datacentre", "in", "marsh", "dike"}), exit_code::done);
}

BOOST_AUTO_TEST_CASE(the_edit_id_tells_the_outcome_after_a_lost_response)
{
    using enum write_fault;
    struct lost_response_case {
        std::deque<write_fault> m_faults;
        exit_code m_code;
        int m_writes;
    };
    const std::vector<lost_response_case> cases{
        {{response_lost}, exit_code::done, 1},
        {{connection_refused}, exit_code::done, 1}, // The second host takes the write.
        {{connection_refused, connection_refused}, exit_code::unreachable, 0},
        {{request_lost}, exit_code::done, 1},
        {{store_outcome_unknown, request_lost, response_lost}, exit_code::done, 1},
        {{request_lost, concurrent_edit}, exit_code::conflict, 0},
        {{request_lost, request_lost, request_lost, request_lost}, exit_code::unknown, 0},
        {{response_lost_then_concurrent_edit}, exit_code::unknown, 1},
    };
    for (const auto& expected : cases) {
        fake_fleet fleet;
        fleet.m_files["file"] = initial_document() + "datacentres_out: [dike]\n";
        fleet.m_faults = expected.m_faults;
        check_code(fleet.run({"apply", "file"}), expected.m_code);
        BOOST_TEST(fleet.m_writes == expected.m_writes);
        BOOST_TEST(fleet.m_slept <= 20s);
    }
}

BOOST_AUTO_TEST_CASE(rollout_queries_hosts_whose_revision_is_not_known)
{
    BOOST_TEST(run({"rollout", "marsh"}).m_output ==
               "document marsh revision 1 in force on every living host\n"
               "host     datacentre  status  revision\n"
               "marsh-1  marsh       alive   1\n"
               "marsh-2  marsh       alive   1\n"
               "marsh-3  marsh       dead    -\n");
    auto late = std::move(m_hosts.extract("127.0.1.2:3").mapped());
    m_options.m_wait = 3s;
    const auto partial = run({"rollout", "marsh"});
    check_code(partial, exit_code::incomplete);
    BOOST_TEST((m_slept == 3s));
    BOOST_TEST(partial.m_output.find("not yet") != std::string::npos);
    m_hosts["127.0.1.2:3"] = std::move(late);
    m_hosts["127.0.1.2:3"].m_configuration.m_documents["marsh"].m_stored.m_revision = 0;
    check_code(run({"rollout", "marsh"}), exit_code::incomplete);
    check_code(run({"rollout", "other"}), exit_code::refused);
}

BOOST_AUTO_TEST_CASE(the_timelines_of_all_hosts_are_merged)
{
    append_entry(m_timelines["127.0.1.1:3"], {{1'000, 0}, "marsh-1", "request", {{"id", "7 a"}}});
    append_entry(m_timelines["127.0.1.1:3"], {{1'000, 2}, "marsh-1", "answer", {}});
    append_entry(m_timelines["127.0.1.2:3"], {{1'000, 1}, "marsh-2", "handed-over", {{"id", "7"}}});
    const std::string expected =
        "1970-01-01T00:00:01.000Z/0 event=request host=marsh-1 id=\"7 a\"\n"
        "1970-01-01T00:00:01.000Z/1 event=handed-over host=marsh-2 id=7\n"
        "1970-01-01T00:00:01.000Z/2 event=answer host=marsh-1\n";
    BOOST_TEST(run({"timeline"}).m_output == expected);
    m_options.m_timeline_hosts = {"127.0.1.2:3", "127.0.1.9:3"};
    const auto partial = run({"timeline"});
    BOOST_TEST((partial.m_code == exit_code::incomplete));
    BOOST_TEST(partial.m_output.find("handed-over") != std::string::npos);
    BOOST_TEST(partial.m_errors.starts_with("127.0.1.9:3 is missing"));
}

/// Compares the output of all list commands, as text and as JSON, with the golden file. The actual
/// output is written to golden_lists.txt in the working directory.
BOOST_AUTO_TEST_CASE(list_output_matches_the_golden_file)
{
    auto& member = m_hosts["127.0.1.1:3"].m_membership.m_members["marsh-2"];
    member.m_record.m_upstreams = {{"tides-1", "tides", 4, 2, 0}, {"tides-10", "tides", 16, 1, 7}};
    std::string output;
    for (const auto format : {output_format::text, output_format::json}) {
        m_options.m_output = format;
        for (const auto* const command : {"list", "hosts", "upstreams", "organisations"}) {
            const auto outcome = run({command});
            check_code(outcome, exit_code::done);
            output += fmt::format("$ {}\n{}", command, outcome.m_output);
        }
    }
    std::ofstream{"golden_lists.txt"} << output;
    std::ifstream stream{CHIVEVANE_SOURCE_DIR "/tests/libcontrol/golden/lists.txt"};
    std::ostringstream expected;
    expected << stream.rdbuf();
    BOOST_TEST(output == expected.str());
}

BOOST_AUTO_TEST_CASE(a_response_without_a_json_object_is_an_error)
{
    const session client{{"127.0.0.1:1"},
                         "t",
                         [](const std::string&, const api_request&) {
                             return api_response{200, {}, "<html>"};
                         },
                         [] { return std::string{"secret-1"}; },
                         [](duration) {}};
    for (const auto& words : {std::vector<std::string>{"hosts"}, {"timeline"}, {"rollout", "a"}}) {
        check_code(run_command(words, {}, client, {}), exit_code::refused);
    }
}

BOOST_AUTO_TEST_SUITE_END()
