#include "libadmin/answer_admin_request.h"
#include "libadmin/json_text.h"
#include "libadmin/parse_admin_request.h"
#include "libdocument/parse_document.h"
#include "libpolicy/configuration/configuration.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <fstream>
#include <rapidcheck.h>
#include <sstream>

using namespace chivevane;

namespace {

const std::string old_text = "document: marsh\n"
                             "organisations: [{name: parish, rate: 10, burst: 20}]\n"
                             "services: [{name: tides}]\n"
                             "routes: [{name: notes, path_prefix: /t, service: tides}]\n"
                             "datacentres_out: [dike]\n";
const std::string new_text = "document: marsh\n"
                             "organisations: [{name: parish, rate: 12, burst: 20}]\n";

member make_member(std::string name, std::string datacentre, member_status status)
{
    member made;
    made.m_record = {{std::move(name), 7}, std::move(datacentre), {"127.0.1.1", 2, 1, 0, 3}};
    made.m_status = status;
    made.m_last_round_at = instant{10s};
    return made;
}

/// A host with one document in force, two peers and three timeline entries.
struct admin_fixture {
    admin_fixture()
    {
        m_host_state.m_settings.m_self = {"marsh-1", 7};
        auto parsed_document = value_of(parse_document(old_text));
        m_host_state.m_configuration.m_documents["marsh"] = {
            {"marsh", 4, "edit-number-4", old_text},
            std::make_shared<const document>(std::move(parsed_document))};
        const auto digest = configuration::digest_of(m_host_state.m_configuration);
        auto& members = m_host_state.m_membership.m_members;
        members["marsh-1"] = make_member("marsh-1", "marsh", member_status::alive);
        members["dike-1"] = make_member("dike-1", "dike", member_status::suspect);
        members["dike-2"] = make_member("dike-2", "dike", member_status::dead);
        m_host_state.m_configuration.m_own_name = "marsh-1";
        m_host_state.m_configuration.m_digest_by_host["dike-1"] =
            static_cast<std::uint32_t>(digest);
        members["dike-1"].m_record.m_upstreams.push_back({"tides-1", "tides", 4, 2, 5});
        for (std::int64_t at = 1; at <= 3; ++at) {
            append_entry(m_timeline, {{at, 0}, "marsh-1", "tick", {{"n", std::to_string(at)}}});
        }
        m_counters.m_caller_answers[200] = 3;
        m_counters.m_caller_latency.record(2ms);
        m_counters.m_caller_latency.record(500s);
    }

    admin_decision decide(std::string method, std::string target,
                          std::vector<http_field> fields = {}, std::string_view body = {}) const
    {
        fields.push_back({"Authorization", "Bearer token-of-operators"});
        const request_head head{std::move(method), std::move(target), std::move(fields)};
        return answer_admin_request(view(), {9, head, body, "fresh-edit"});
    }

    admin_view view() const
    {
        return {m_host_state, m_timeline, m_counters, "token-of-operators", instant{12s}};
    }

    respond answer(std::string method, std::string target, std::vector<http_field> fields = {},
                   std::string_view body = {}) const
    {
        const auto decided = decide(std::move(method), std::move(target), std::move(fields), body);
        BOOST_TEST_REQUIRE(std::holds_alternative<respond>(decided));
        return std::get<respond>(decided);
    }

    host_state m_host_state;
    timeline m_timeline;
    host_counters m_counters;
};

std::string read_golden(const std::string& name)
{
    std::ifstream stream{std::string{CHIVEVANE_SOURCE_DIR} + "/tests/libadmin/golden/" + name};
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(administration, admin_fixture)

BOOST_AUTO_TEST_CASE(every_resource_requires_the_exact_token)
{
    for (const auto* const given : {"", "Bearer ", "Bearer token-of-operator", "Basic x",
                                    "token-of-operators", "Bearer token-of-operators2"}) {
        for (const auto* const target : {"/metrics", "/v1/documents/marsh", "/nothing"}) {
            const request_head head{"GET", target, {{"authorization", given}}};
            const auto decided = answer_admin_request(view(), {9, head, "", "fresh-edit"});
            const auto& refused = std::get<respond>(decided);
            BOOST_TEST(refused.m_head.m_status == 401);
            BOOST_TEST(find_field(refused.m_head.m_fields, "WWW-Authenticate").has_value());
        }
    }
    const request_head head{"GET", "/metrics", {{"Authorization", "Bearer "}}};
    const admin_view open{m_host_state, m_timeline, m_counters, "", instant{12s}};
    BOOST_TEST(std::get<respond>(answer_admin_request(open, {9, head, "", ""})).m_head.m_status ==
               401);
}

BOOST_AUTO_TEST_CASE(each_problem_has_status_type_and_remedy)
{
    struct refused_case {
        std::string m_method;
        std::string m_target;
        std::vector<http_field> m_fields;
        std::string m_body;
        std::uint16_t m_status;
        std::string m_type;
    };
    const std::string path = "/v1/documents/marsh";
    const http_field match{"If-Match", "\"4\""};
    const std::vector<refused_case> cases{
        {"GET", "/", {}, "", 404, "no-resource"},
        {"GET", "/v1/nothing", {}, "", 404, "no-resource"},
        {"GET", "nothing", {}, "", 404, "no-resource"},
        {"GET", path + "/other", {}, "", 404, "no-resource"},
        {"GET", "/v1/documents/other", {}, "", 404, "no-document"},
        {"GET", "/v1/documents/", {}, "", 404, "no-document"},
        {"GET", "/v1/documents/%2e", {}, "", 404, "no-document"},
        {"GET", "/v1/documents/other/rollout", {}, "", 404, "no-document"},
        {"DELETE", path, {}, "", 405, "method-not-allowed"},
        {"POST", "/v1/hosts", {}, "", 405, "method-not-allowed"},
        {"PUT", "/v1/timeline", {}, "", 405, "method-not-allowed"},
        {"GET", "/v1/hosts/dike-2/declare-dead", {}, "", 405, "method-not-allowed"},
        {"POST", "/v1/hosts/dike-2/forget", {}, "", 404, "no-resource"},
        {"GET", path + "/check", {}, "", 405, "method-not-allowed"},
        {"GET", "/v1/timeline?limit=0", {}, "", 400, "malformed-query"},
        {"GET", "/v1/timeline?after=x", {}, "", 400, "malformed-query"},
        {"GET", "/v1/timeline?before=1.0", {}, "", 400, "malformed-query"},
        {"GET", "/v1/organisations?document=a/b", {}, "", 400, "malformed-query"},
        {"POST", "/v1/explain?path=/t", {}, "", 405, "method-not-allowed"},
        {"GET", "/v1/explain", {}, "", 400, "malformed-query"},
        {"GET", "/v1/explain?path=t", {}, "", 400, "malformed-query"},
        {"GET", "/v1/explain?path=/%2", {}, "", 400, "malformed-query"},
        {"GET", "/v1/explain?path=/%zz", {}, "", 400, "malformed-query"},
        {"GET", "/v1/explain?path=/t&timeout_ms=0", {}, "", 400, "malformed-query"},
        {"GET", "/v1/explain?path=/t&key=first", {}, "", 400, "malformed-query"},
        {"GET", "/v1/explain?path=/t&key_digest=first", {}, "", 400, "malformed-query"},
        {"GET", "/v1/explain?path=/t&organisation=a/b/c", {}, "", 400, "malformed-query"},
        {"GET",
         "/v1/explain?path=/t&organisation=parish&key_digest=" + std::string(64, 'a'),
         {},
         "",
         400,
         "malformed-query"},
        {"GET", "/v1/explain?path=/t&organisation=other", {}, "", 404, "no-organisation"},
        {"GET", "/v1/explain?path=/t&organisation=other/parish", {}, "", 404, "no-organisation"},
        {"PUT", path, {}, old_text, 428, "condition-missing"},
        {"PUT", path, {{"If-Match", "4"}}, old_text, 400, "malformed-condition"},
        {"PUT", path, {{"If-Match", "W/\"4\""}}, old_text, 400, "malformed-condition"},
        {"PUT", path, {{"If-Match", "\"4\", \"5\""}}, old_text, 400, "malformed-condition"},
        {"PUT", path, {{"If-None-Match", "\"4\""}}, old_text, 400, "malformed-condition"},
        {"PUT", path, {match, {"If-None-Match", "*"}}, old_text, 400, "malformed-condition"},
        {"PUT", path, {match, {"X-Edit-Id", "short"}}, old_text, 400, "malformed-edit-id"},
        {"PUT", path, {match, {"X-Edit-Id", "with blank"}}, old_text, 400, "malformed-edit-id"},
        {"PUT", path, {match}, "document: marsh\nx: 1\n", 422, "invalid-document"},
        {"PUT", path, {match}, "document: other\n", 422, "invalid-document"},
        {"POST", path + "/check", {}, "[", 422, "invalid-document"},
        {"PUT",
         "/v1/documents/new",
         {{"If-Match", "*"}},
         "document: new\n",
         412,
         "revision-conflict"},
    };
    for (const auto& expected : cases) {
        const auto refused =
            answer(expected.m_method, expected.m_target, expected.m_fields, expected.m_body);
        const auto body = json_value::parse(refused.m_body);
        BOOST_TEST(refused.m_exchange == 9);
        BOOST_TEST(refused.m_head.m_status == expected.m_status, expected.m_target);
        BOOST_TEST(body["status"] == expected.m_status);
        BOOST_TEST(body["type"] == "urn:chivevane:problem:" + expected.m_type, body.dump());
        BOOST_TEST(!body["detail"].get<std::string>().empty());
        BOOST_TEST(body.contains("faults") == (expected.m_status == 422));
        BOOST_TEST(find_field(refused.m_head.m_fields, "Allow").has_value() ==
                   (expected.m_status == 405));
    }
}

BOOST_AUTO_TEST_CASE(a_valid_write_becomes_an_event)
{
    const std::string path = "/v1/documents/marsh";
    const auto put = [&](std::vector<http_field> fields) {
        return std::get<document_submitted>(decide("PUT", path, std::move(fields), new_text));
    };
    BOOST_TEST((put({{"If-Match", "\"4\""}}) ==
                document_submitted{9, "marsh", new_text, 4, "fresh-edit"}));
    BOOST_TEST((put({{"if-none-match", "*"}, {"X-Edit-Id", "my-own-edit"}}) ==
                document_submitted{9, "marsh", new_text, 0, "my-own-edit"}));
    BOOST_TEST((put({{"If-Match", "*"}}) ==
                document_submitted{9, "marsh", new_text, std::nullopt, "fresh-edit"}));
}

BOOST_AUTO_TEST_CASE(declaring_a_host_dead_becomes_an_event)
{
    const auto decided = decide("POST", "/v1/hosts/dike-2/declare-dead");
    BOOST_TEST_REQUIRE(std::holds_alternative<host_declared_dead>(decided));
    BOOST_TEST(std::get<host_declared_dead>(decided).m_host == "dike-2");
}

BOOST_AUTO_TEST_CASE(a_document_is_read_with_its_revision_and_edit_id)
{
    const auto read = answer("GET", "/v1/documents/marsh");
    BOOST_TEST(read.m_body == old_text);
    BOOST_TEST(*find_field(read.m_head.m_fields, "ETag") == "\"4\"");
    BOOST_TEST(*find_field(read.m_head.m_fields, "X-Edit-Id") == "edit-number-4");
}

/// Compares the response body of each resource with its file in the folder golden. The test also
/// writes each received body to the working directory, for review.
BOOST_AUTO_TEST_CASE(responses_match_the_golden_files)
{
    struct golden_case {
        std::string m_file;
        respond m_answer;
    };
    const std::vector<golden_case> cases{
        {"documents.json", answer("GET", "/v1/documents")},
        {"check.json", answer("POST", "/v1/documents/marsh/check", {}, new_text)},
        {"check_new.json", answer("POST", "/v1/documents/new/check", {}, "document: new\n")},
        {"rollout.json", answer("GET", "/v1/documents/marsh/rollout")},
        {"hosts.json", answer("GET", "/v1/hosts")},
        {"upstreams.json", answer("GET", "/v1/upstreams")},
        {"organisations.json", answer("GET", "/v1/organisations?document=marsh")},
        {"timeline.json", answer("GET", "/v1/timeline")},
        {"timeline_after.json", answer("GET", "/v1/timeline?after=1.0&limit=1")},
        {"metrics.txt", answer("GET", "/metrics")},
    };
    for (const auto& [file, response] : cases) {
        BOOST_TEST(response.m_head.m_status == 200);
        BOOST_TEST(response.m_body == read_golden(file), file);
        std::ofstream{"golden_" + file} << response.m_body;
    }
    BOOST_TEST(answer("GET", "/v1/organisations?document=other").m_body ==
               "{\"organisations\":[]}\n");
}

BOOST_AUTO_TEST_CASE(any_head_gives_a_command_or_a_problem)
{
    BOOST_TEST(rc::check("heads", [] {
        const auto part = rc::gen::elementOf(std::vector<std::string>{
            "/", "v1", "documents", "marsh", "check", "rollout", "timeline", "?", "&", "=", "after",
            "limit", "1.5", "99999999999999999999", "%", "\"", "*", "4", ""});
        const auto text = rc::gen::map(rc::gen::container<std::vector<std::string>>(part),
                                       [](const std::vector<std::string>& parts) {
                                           return fmt::format("{}", fmt::join(parts, ""));
                                       });
        const auto method = *rc::gen::element<std::string>("GET", "PUT", "POST", "X");
        const auto parsed = parse_admin_request(
            {method, "/v1/" + *text, {{"If-Match", *text}, {"X-Edit-Id", *text}}});
        const auto* const problem = std::get_if<admin_problem>(&parsed);
        const bool is_handled = problem == nullptr || status_of(problem->m_kind) >= 400;
        RC_ASSERT(is_handled);
    }));
}

BOOST_AUTO_TEST_SUITE_END()
