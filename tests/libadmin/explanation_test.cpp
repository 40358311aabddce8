#include "libadmin/answer_admin_request.h"
#include "libadmin/json_text.h"
#include "libadmin/parse_admin_request.h"
#include "libbase/digest.h"
#include "libdocument/parse_document.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

using namespace chivevane;

namespace {

constexpr instant now{1h};

std::string document_text(std::string_view name)
{
    return fmt::format(
        "document: {0}\n"
        "organisations:\n"
        "  - {{name: parish, rate: 10, burst: 20, keys: [{{name: first, digest: {1}}}]}}\n"
        "services: [{{name: tides}}]\n"
        "routes: [{{name: notes, path_prefix: /{0}, service: tides, latency_target_ms: 300}}]\n",
        name, sha256_hex(fmt::format("{}-key", name)));
}

/// A host that serves, with two documents in force and upstreams on two other hosts.
struct explanation_fixture {
    explanation_fixture()
    {
        auto& settings = m_host_state.m_settings;
        settings.m_self = {"marsh-1", 7};
        settings.m_datacentre = "marsh";
        settings.m_rate_mode = rate_mode::metered;
        auto& configuration = m_host_state.m_configuration;
        configuration.m_is_ready = true;
        configuration.m_confirmed_at = now;
        for (const std::string name : {"marsh", "dike"}) {
            const auto text = document_text(name);
            configuration.m_documents[name] = {
                {name, 4, "edit-number-4", text},
                std::make_shared<const document>(value_of(parse_document(text)))};
            configuration.m_keys[sha256_hex(name + "-key")] = {{name, "parish"}};
        }
        add_host("marsh-1", "marsh");
        add_host("marsh-2", "marsh");
        add_host("dike-2", "dike");
        const upstream_id known{"marsh-2", "tides-1"};
        auto& record = m_host_state.m_ingress.m_destinations.m_records[known];
        record.m_load = 0.5;
        record.m_load_updated_at = now - 40ms;
        record.m_circuit_seen_open_at = now - 600ms;
    }

    void add_host(const std::string& name, const std::string& datacentre)
    {
        auto& added = m_host_state.m_membership.m_members[name];
        added.m_record = {{name, 7}, datacentre, {"127.0.1.1", 2, 1, 0, 3}};
        added.m_last_round_at = now - 1s;
        if (name != "marsh-1") {
            added.m_record.m_upstreams = {{"tides-1", "tides", 4, 2, 1}};
        }
    }

    respond answer(const std::string& query) const
    {
        const request_head head{
            "GET", "/v1/explain?" + query, {{"Authorization", "Bearer token-of-operators"}}};
        const auto decided = answer_admin_request(
            {m_host_state, m_timeline, m_counters, "token-of-operators", now}, {9, head, "", ""});
        return std::get<respond>(decided);
    }

    json_value body_of(const std::string& query) const
    {
        return json_value::parse(answer(query).m_body);
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

BOOST_FIXTURE_TEST_SUITE(explanation_resource, explanation_fixture)

/// Guards against fields that programs of operators read and that change by accident. The test also
/// writes each received body to the working directory, for review.
BOOST_AUTO_TEST_CASE(explanations_match_the_golden_files)
{
    const auto query = "path=/marsh/7&timeout_ms=900&key_digest=" + sha256_hex("marsh-key");
    m_host_state.m_settings.m_placement = placement_mode::weighted;
    const auto weighted = answer(query);
    m_host_state.m_settings.m_placement = placement_mode::probing;
    const auto probing = answer(query);
    const auto refused = answer("path=/marsh/7");
    for (const auto& [file, response] : {std::pair{"explain_weighted.json", weighted},
                                         {"explain_probing.json", probing},
                                         {"explain_refused.json", refused}}) {
        BOOST_TEST(response.m_head.m_status == 200);
        BOOST_TEST(response.m_body == read_golden(file), file);
        std::ofstream{std::string{"golden_"} + file} << response.m_body;
    }
}

/// Guards against parameters that are dropped or not decoded, which would explain another request.
BOOST_AUTO_TEST_CASE(the_parameters_are_those_of_the_explained_request)
{
    const request_head head{
        "GET",
        "/v1/explain?method=POST&host=a%3A80&path=%2Ft%3Fa%3Db%26c&organisation=marsh/parish"
        "&timeout_ms=250",
        {}};
    const auto parsed = parse_admin_request(head);
    BOOST_TEST_REQUIRE(std::holds_alternative<admin_command>(parsed));
    const read_explanation expected{"POST", "a:80", "/t?a=b&c", "marsh/parish", "", 250};
    BOOST_TEST((std::get<admin_command>(parsed) == admin_command{expected}));
}

/// Guards against a guess among organisations of the same name in several documents.
BOOST_AUTO_TEST_CASE(an_organisation_of_several_documents_needs_its_document)
{
    BOOST_TEST(answer("path=/marsh&organisation=parish").m_head.m_status == 400);
    const auto body = body_of("path=/dike&organisation=dike/parish");
    BOOST_TEST(body["document"] == "dike");
    BOOST_TEST(body["organisation"] == "parish");
    BOOST_TEST(body["left_ms"] == 10'000);
    BOOST_TEST(body["refusal"].is_null());
    BOOST_TEST(body_of("path=/marsh&organisation=dike/parish")["refusal"]["kind"] ==
               "route-forbidden");
}

/// Guards against an explanation without a Host field, which a request must have.
BOOST_AUTO_TEST_CASE(a_path_alone_is_explained_for_the_address_of_the_host)
{
    BOOST_TEST(body_of("path=/marsh&organisation=marsh/parish")["refusal"].is_null());
    BOOST_TEST(body_of("path=/marsh&host=a%20b")["refusal"]["kind"] == "malformed-request");
}

BOOST_AUTO_TEST_SUITE_END()
