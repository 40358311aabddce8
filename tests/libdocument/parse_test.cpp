#include "libbase/digest.h"
#include "libdocument/document_samples.h"
#include "libdocument/format_document.h"
#include "libdocument/parse_document.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace chivevane;
using namespace chivevane::test;

BOOST_AUTO_TEST_SUITE(parsing)

namespace {

struct faulty_case {
    std::string m_text;
    error_kind m_kind;
    std::string m_message_part;
};

const std::string services = "document: d\nservices: [{name: s}]\n";
const std::string organisation_head = "document: d\norganisations:\n  - ";
const std::string digest = sha256_hex("key");
const std::string damaging_characters =
    std::string{"[]{}:,-#&*!|>'\"%@`\n\t ?~ax0."} + '\0' + '\xff';

std::string with_route(std::string_view fields)
{
    return fmt::format("{}routes:\n  - {{name: r, path_prefix: /p, service: s{}}}\n", services,
                       fields);
}

std::string repeat(std::string_view text, std::size_t count)
{
    std::string whole;
    for (std::size_t count_done = 0; count_done < count; ++count_done) {
        whole += text;
    }
    return whole;
}

const std::vector<faulty_case> faulty_cases{
    {"", error_kind::syntax, "line 1:"},
    {"# only a comment\n", error_kind::syntax, "line 1:"},
    {"document: d\n  bad: [\n", error_kind::syntax, "line 2:"},
    {"document: d\n---\ndocument: e\n", error_kind::syntax, "more than one"},
    {"- d\n", error_kind::wrong_type, "line 1, top level:"},
    {"just text", error_kind::wrong_type, "line 1, top level:"},
    {"services: []\n", error_kind::missing_field, "line 1, document:"},
    {"document: d\nother: 1\n", error_kind::unknown_field, "line 2, other:"},
    {"document: d\ndocument: e\n", error_kind::duplicate, "line 2, document:"},
    {"document: a/b\n", error_kind::out_of_range, "line 1, document:"},
    {"document: [d]\n", error_kind::wrong_type, "line 1, document:"},
    {"document: &a d\n", error_kind::syntax, "line 1:"},
    {"document: d\nservices: *a\n", error_kind::syntax, "line 2:"},
    {"document: !!str d\n", error_kind::wrong_type, "line 1:"},
    {"document: d\n? [a, b]\n: c\n", error_kind::wrong_type, "line 2:"},
    {"document: d\nservices: " + repeat("[", 400), error_kind::too_large, "line 2:"},
    {repeat("[", 900'000), error_kind::too_large, "line 1:"},
    {"document: d\nservices: [" + repeat("a,", 300'001) + "]", error_kind::too_large, "line 2:"},
    {"document: d\n#" + repeat("x", max_document_size), error_kind::too_large, "1000013 bytes"},
    {"document: d\norganisations: {a: 1}\n", error_kind::wrong_type, "line 2, organisations:"},
    {organisation_head + "parish\n", error_kind::wrong_type, "line 3, organisations[0]:"},
    {organisation_head + "{name: o, rate: 1}\n", error_kind::missing_field,
     "line 3, organisations[0].burst:"},
    {organisation_head + "{name: o, rate: fast, burst: 1}\n", error_kind::wrong_type,
     "line 3, organisations[0].rate:"},
    {organisation_head + "{name: o, rate: \"1\", burst: 1}\n", error_kind::wrong_type,
     "line 3, organisations[0].rate:"},
    {organisation_head + "{name: o, rate: 1 s, burst: 1}\n", error_kind::wrong_type,
     "line 3, organisations[0].rate:"},
    {organisation_head + "{name: o, rate: -1, burst: 1}\n", error_kind::out_of_range,
     "line 3, organisations[0].rate:"},
    {organisation_head + "{name: o, rate: nan, burst: 1}\n", error_kind::out_of_range,
     "line 3, organisations[0].rate:"},
    {organisation_head + "{name: o, rate: 1, burst: inf}\n", error_kind::out_of_range,
     "line 3, organisations[0].burst:"},
    {organisation_head + "{name: o, rate: 1, burst: 0.5}\n", error_kind::out_of_range,
     "line 3, organisations[0].burst:"},
    {organisation_head + "{name: o, rate: 1, burst: 1}\n  - {name: o, rate: 1, burst: 1}\n",
     error_kind::duplicate, "line 4, organisations[1]:"},
    {organisation_head + "{name: o, rate: 1, burst: 1, keys: [{name: k, digest: ABC}]}\n",
     error_kind::out_of_range, "line 3, organisations[0].keys[0].digest:"},
    {organisation_head + "{name: o, rate: 1, burst: 1, keys: [{name: k, digest: " + digest +
         "}, {name: l, digest: " + digest + "}]}\n",
     error_kind::duplicate, "line 3, organisations[0].keys[1]:"},
    {organisation_head + "{name: o, rate: 1, burst: 1, keys: [{name: k, digest: " + digest +
         "}, {name: k, digest: " + sha256_hex("other") + "}]}\n",
     error_kind::duplicate, "line 3, organisations[0].keys[1]:"},
    {"document: d\nservices: [{name: s, floor: 1.01}]\n", error_kind::out_of_range,
     "line 2, services[0].floor:"},
    {"document: d\nservices: [{name: s}, {name: s}]\n", error_kind::duplicate,
     "line 2, services[1]:"},
    {services + "routes:\n  - {name: r, path_prefix: /p, service: t}\n", error_kind::dangling,
     "line 4, routes[0]:"},
    {with_route("") + "  - {name: r, path_prefix: /q, service: s}\n", error_kind::duplicate,
     "line 5, routes[1]:"},
    {with_route("") + "  - {name: q, path_prefix: /p, service: s}\n", error_kind::duplicate,
     "line 5, routes[1]:"},
    {with_route(", timeout_ms: 0"), error_kind::out_of_range, "line 4, routes[0].timeout_ms:"},
    {with_route(", timeout_ms: 1.5"), error_kind::wrong_type, "line 4, routes[0].timeout_ms:"},
    {with_route(", timeout_ms: 99999999999999999999"), error_kind::wrong_type,
     "line 4, routes[0].timeout_ms:"},
    {with_route(", attempts: 11"), error_kind::out_of_range, "line 4, routes[0].attempts:"},
    {with_route(", open_to_all: yes"), error_kind::wrong_type, "line 4, routes[0].open_to_all:"},
    {with_route(", hedging: 1"), error_kind::wrong_type, "line 4, routes[0].hedging:"},
    {with_route(", methods: GET"), error_kind::wrong_type, "line 4, routes[0].methods:"},
    {with_route(", methods: [get]"), error_kind::out_of_range, "line 4, routes[0].methods[0]:"},
    {with_route(", methods: [GET, GET]"), error_kind::duplicate, "line 4, routes[0].methods[1]:"},
    {with_route(", host: A.example"), error_kind::out_of_range, "line 4, routes[0].host:"},
    {services + "routes: [{name: r, path_prefix: p, service: s}]\n", error_kind::out_of_range,
     "line 3, routes[0].path_prefix:"},
    {services + "routes: [{name: r, path_prefix: /a/../b, service: s}]\n", error_kind::out_of_range,
     "line 3, routes[0].path_prefix:"},
    {"document: d\ndatacentres_out: [m, m]\n", error_kind::duplicate,
     "line 2, datacentres_out[1]:"},
    {"document: d\ndatacentres_out: [[m]]\n", error_kind::wrong_type,
     "line 2, datacentres_out[0]:"},
};

} // namespace

BOOST_AUTO_TEST_CASE(each_fault_has_kind_line_path_and_remedy)
{
    for (const auto& expected : faulty_cases) {
        const auto excerpt = expected.m_text.substr(0, 200);
        const auto parsed = parse_document(expected.m_text);
        BOOST_TEST_REQUIRE(is_error(parsed), excerpt);
        const auto& fault = error_of(parsed);
        BOOST_TEST((fault.m_kind == expected.m_kind), describe(fault) << " in " << excerpt);
        BOOST_TEST(fault.m_message.find(expected.m_message_part) != std::string::npos,
                   describe(fault) << " lacks " << expected.m_message_part);
        BOOST_TEST(!fault.m_remedy.empty());
    }
}

BOOST_AUTO_TEST_CASE(all_fields_are_read)
{
    const auto parsed = parse_document(commented_document());
    BOOST_TEST_REQUIRE(!is_error(parsed));
    const auto& parsed_document = value_of(parsed);
    BOOST_TEST(parsed_document.m_name == "blackmorass");
    BOOST_TEST_REQUIRE(parsed_document.m_organisations.size() == 4);
    BOOST_TEST(parsed_document.m_organisations[0].m_burst == 20.5);
    BOOST_TEST((parsed_document.m_organisations[0].m_keys ==
                std::vector<api_key>{{"first", sha256_hex("1")}, {"second", sha256_hex("2")}}));
    BOOST_TEST((parsed_document.m_services ==
                std::vector<service_policy>{{"tides", 0.5}, {"permits", 0.5}}));
    const route notes{"notes", "", "/tides", {}, "tides", route_access::open_to_all};
    const route permits{"permits",  "permits.example",   "/permits", {"GET", "POST"},
                        "permits",  route_access::keyed, 2s,         2,
                        hedging::on};
    BOOST_TEST((parsed_document.m_routes == std::vector<route>{notes, permits}));
    BOOST_TEST((parsed_document.m_datacentres_out == std::vector<std::string>{"marsh", "dike"}));
}

BOOST_AUTO_TEST_CASE(all_faults_are_reported_at_once_up_to_a_hundred)
{
    const auto some = parse_document_fully("document: 'a b'\nx: 1\nroutes: [{}]\n");
    BOOST_TEST(std::get<std::vector<error>>(some).size() == 5);
    const auto many = parse_document_fully("document: d\nroutes: [" + repeat("{},", 5000) + "]\n");
    BOOST_TEST(std::get<std::vector<error>>(many).size() == 100);
}

BOOST_AUTO_TEST_CASE(formatting_and_parsing_gives_an_equal_document)
{
    BOOST_TEST(rc::check("round trip", [] {
        const auto parsed_document = *any_document();
        const auto text = format_document(parsed_document);
        const auto parsed = parse_document(text);
        const bool is_same = !is_error(parsed) && value_of(parsed) == parsed_document;
        RC_LOG() << text << (is_error(parsed) ? describe(error_of(parsed)) : "");
        RC_ASSERT(is_same);
    }));
}

BOOST_AUTO_TEST_CASE(damaged_text_parses_or_gives_a_fault_with_a_remedy)
{
    BOOST_TEST(rc::check("damage", [](std::uint32_t place, std::uint32_t length) {
        const auto junk = *rc::gen::container<std::string>(rc::gen::elementOf(damaging_characters));
        auto text = commented_document();
        text.replace(place % text.size(), length % 40, junk);
        const auto parsed = parse_document(text);
        const bool is_handled = !is_error(parsed) || !error_of(parsed).m_remedy.empty();
        RC_ASSERT(is_handled);
    }));
}

BOOST_AUTO_TEST_CASE(targets_priorities_and_limits_are_read_and_written)
{
    const auto text = fmt::format(R"(document: d
organisations:
  - name: parish
    unlimited: true
    priority: 2
    keys:
      - {{name: k, digest: {}}}
services:
  - {{name: s, floor: 0.5, cold_rate: 21, health_path: /healthz}}
  - {{name: t, floor: 0.5}}
routes:
  - {{name: r, path_prefix: /p/, targets: [{{service: s, weight: 90}}, {{service: t, weight: 10}}], timeout_ms: 2000, attempts: 2, idempotent: false, priority: 1, latency_target_ms: 800}}
caller_limits:
  head_bytes: 16384
  idle_timeout_ms: 15000
)",
                                  digest);
    const auto parsed = parse_document(text);
    BOOST_TEST_REQUIRE(!is_error(parsed));
    const auto& parsed_document = value_of(parsed);
    BOOST_TEST(parsed_document.m_organisations[0].m_rate == unlimited_rate);
    BOOST_TEST(parsed_document.m_organisations[0].m_priority.value() == 2U);
    BOOST_TEST(parsed_document.m_services[0].m_cold_rate == 21);
    BOOST_TEST(parsed_document.m_services[0].m_health_path == "/healthz");
    const auto& entry = parsed_document.m_routes[0];
    BOOST_TEST(entry.m_targets.size() == 2U);
    BOOST_TEST(names_service(entry, "t"));
    BOOST_TEST(!names_service(entry, "u"));
    BOOST_TEST((entry.m_idempotence == route_idempotence::not_idempotent));
    BOOST_TEST(entry.m_priority == 1U);
    BOOST_TEST((entry.m_latency_target == 800ms));
    BOOST_TEST(parsed_document.m_caller_limits.m_head_bytes == 16384U);
    BOOST_TEST((parsed_document.m_caller_limits.m_idle_timeout == 15s));
    BOOST_TEST((value_of(parse_document(format_document(parsed_document))) == parsed_document));
}

BOOST_AUTO_TEST_CASE(a_health_path_must_be_a_path)
{
    const auto is_refused = [](std::string_view path) {
        return is_error(parse_document(
            fmt::format("document: d\nservices:\n  - {{name: s, health_path: \"{}\"}}\n", path)));
    };
    BOOST_TEST(!is_refused("/healthz"));
    BOOST_TEST(is_refused("healthz"));
    BOOST_TEST(is_refused("/health z"));
    BOOST_TEST(is_refused("/a/../b"));
}

BOOST_AUTO_TEST_CASE(invalid_targets_are_reported)
{
    const auto kind_of = [](std::string_view fields) {
        const auto parsed = parse_document(
            fmt::format("{}routes:\n  - {{name: r, path_prefix: /p{}}}\n", services, fields));
        return is_error(parsed) ? std::string{to_string(error_of(parsed).m_kind)} : "none";
    };
    BOOST_TEST(kind_of(", targets: [{service: s, weight: 1}]") == "none");
    BOOST_TEST(kind_of(", targets: [{service: s, weight: 0}]") == "out-of-range");
    BOOST_TEST(kind_of(", targets: [{service: x, weight: 1}]") == "dangling");
    BOOST_TEST(kind_of(", service: s, targets: [{service: s, weight: 1}]") == "duplicate");
    BOOST_TEST(kind_of(", targets: [{service: s, weight: 1}, {service: s, weight: 1}]") ==
               "duplicate");
    BOOST_TEST(kind_of("") == "missing-field");
}

BOOST_AUTO_TEST_SUITE_END()
