#include "libbase/digest.h"
#include "libdocument/parse_document.h"
#include "libpolicy/configuration/document_transfer.h"
#include "platform/operator_document.h"
#include "platform/operator_view.h"

#include <boost/test/unit_test.hpp>

using namespace chivevane;
using namespace chivevane::platform;

namespace {

const std::string configuration = R"({"version":"r7","routes":{
 "r-split":{"host":"a.example","prefix":"/x/","kind":"idempotent","timeout-ms":4000,
  "target-latency-ms":1200,"priority":2,"max-attempts":2,"public":false,
  "weighted-targets":[{"service":"s","weight":90},{"service":"t","weight":10}]},
 "r-once":{"host":"a.example","prefix":"/y/","kind":"non_idempotent","timeout-ms":2500,
  "priority":1,"service":"s","max-attempts":2,"public":true}},
 "services":{"s":{"cold-per-s":21.0,"health-path":"/healthz"},"t":{}},
 "limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,
  "idle-timeout-ms":15000},
 "tenants":{"parish":{"api-keys":["k1","k2"],"priority":1,"rate-per-s":30,"burst":30},
  "free":{"api-keys":["k3"]}}})";

const std::string other_configuration =
    R"({"version":"r8","routes":{"r":{"prefix":"/","service":"s"}},"services":{"s":{}}})";

store_entry item(const std::string& key, const std::string& value, std::uint64_t revision)
{
    return {key, value, revision};
}

stored_document decode(const std::optional<store_entry>& entry)
{
    return decode_document_transfer(entry.value().m_value).value().m_stored;
}

} // namespace

BOOST_AUTO_TEST_SUITE(operator_configuration)

BOOST_AUTO_TEST_CASE(the_configuration_is_converted_to_a_document)
{
    const auto read = read_operator_document(configuration, {"south"}, 0.5);
    BOOST_TEST_REQUIRE(!is_error(read));
    const auto& parsed_document = value_of(read);
    const auto& split = parsed_document.m_routes.at(1);
    BOOST_TEST(split.m_name == "r-split");
    BOOST_TEST(split.m_targets.size() == 2U);
    BOOST_TEST((split.m_idempotence == route_idempotence::idempotent));
    BOOST_TEST((split.m_latency_target == 1200ms));
    BOOST_TEST((split.m_access == route_access::keyed));
    const auto& once = parsed_document.m_routes.at(0);
    BOOST_TEST((once.m_idempotence == route_idempotence::not_idempotent));
    BOOST_TEST((once.m_access == route_access::open_to_all));
    BOOST_TEST((once.m_timeout == 2500ms));
    BOOST_TEST(parsed_document.m_organisations.at(0).m_rate == unlimited_rate);
    BOOST_TEST(parsed_document.m_organisations.at(1).m_rate == 30);
    BOOST_TEST(parsed_document.m_organisations.at(1).m_keys.at(1).m_digest == sha256_hex("k2"));
    BOOST_TEST(parsed_document.m_datacentres_out.at(0) == "south");
    BOOST_TEST(parsed_document.m_caller_limits.m_head_bytes == 16384U);
    BOOST_TEST(parsed_document.m_services.at(0).m_cold_rate == 21);
    BOOST_TEST(parsed_document.m_services.at(0).m_health_path == "/healthz");
}

BOOST_AUTO_TEST_CASE(without_tenants_all_routes_are_open)
{
    const auto read = read_operator_document(
        R"({"routes":{"r":{"prefix":"/","service":"s"}},"services":{"s":{}}})", {}, 0.5);
    BOOST_TEST((value_of(read).m_routes.at(0).m_access == route_access::open_to_all));
    BOOST_TEST(is_error(read_operator_document("{", {}, 0.5)));
    BOOST_TEST(version_of(configuration) == "r7");
    BOOST_TEST(version_of("[]").empty());
}

/// Guards against opening all routes when the operator takes away the last tenant.
BOOST_AUTO_TEST_CASE(a_table_of_tenants_without_entries_leaves_only_public_routes_open)
{
    for (const std::string tenants : {"{}", "null"}) {
        const auto read = read_operator_document(
            R"({"routes":{"a":{"prefix":"/a/","service":"s","public":false},
                "b":{"prefix":"/b/","service":"s"},
                "c":{"prefix":"/c/","service":"s","public":true}},
                "services":{"s":{}},"tenants":)" +
                tenants + "}",
            {}, 0.5);
        BOOST_TEST_REQUIRE(!is_error(read));
        const auto& routes = value_of(read).m_routes;
        BOOST_TEST((routes.at(0).m_access == route_access::keyed));
        BOOST_TEST((routes.at(1).m_access == route_access::keyed));
        BOOST_TEST((routes.at(2).m_access == route_access::open_to_all));
    }
}

// Guards against a table of tenants that cannot be read being taken for the lack of one, which
// opens all routes.
BOOST_AUTO_TEST_CASE(a_table_of_tenants_that_cannot_be_read_opens_no_route)
{
    for (const std::string tenants :
         {"[]", "7", "\"none\"", "[{}]", R"({"parish":7})", R"({"parish":{"api-keys":7}})",
          R"({"parish":{"api-keys":[7]}})"}) {
        const auto read = read_operator_document(
            R"({"routes":{"a":{"prefix":"/a/","service":"s","public":false}},
                "services":{"s":{}},"tenants":)" +
                tenants + "}",
            {}, 0.5);
        // A configuration that cannot be read leaves the one before it in force.
        const bool is_closed =
            is_error(read) || value_of(read).m_routes.at(0).m_access == route_access::keyed;
        BOOST_TEST(is_closed, tenants);
    }
}

BOOST_AUTO_TEST_CASE(a_document_entry_holds_what_parsing_its_text_would_give)
{
    operator_view view;
    replace_items(view,
                  {item("op/config", configuration, 12), item("op/evacuate/south", "{}", 50)});
    const auto entry = document_entry(view, 0, 50);
    const auto transferred = decode_document_transfer(entry.value().m_value);
    BOOST_TEST_REQUIRE(transferred.has_value());
    BOOST_TEST_REQUIRE(transferred->m_parsed_document != nullptr);
    const auto parsed = parse_document(transferred->m_stored.m_text);
    BOOST_TEST_REQUIRE(!is_error(parsed));
    BOOST_TEST((*transferred->m_parsed_document == value_of(parsed)));
}

BOOST_AUTO_TEST_CASE(the_documents_revision_grows_with_every_change)
{
    operator_view view;
    replace_items(view, {item("op/config", configuration, 12)});
    const auto first = decode(document_entry(view, 0, 40));
    BOOST_TEST(first.m_revision == 12U);
    BOOST_TEST(first.m_edit_id == "r7");
    BOOST_TEST(!is_error(parse_document(first.m_text)));
    BOOST_TEST(!document_entry(view, 0, 41).has_value()); // The document has not changed.

    apply_changes(view, {item("op/evacuate/south", "{}", 50)});
    const auto evacuated = decode(document_entry(view, 50, 50));
    BOOST_TEST(evacuated.m_revision == 50U);
    BOOST_TEST(value_of(parse_document(evacuated.m_text)).m_datacentres_out.size() == 1U);

    apply_changes(view, {item("op/evacuate/south", "", 0)});
    const auto returned = decode(document_entry(view, 60, 60));
    BOOST_TEST(returned.m_revision == 60U);
    BOOST_TEST(value_of(parse_document(returned.m_text)).m_datacentres_out.empty());
}

BOOST_AUTO_TEST_CASE(a_removal_seen_only_by_a_full_read_raises_the_revision)
{
    operator_view view;
    replace_items(view,
                  {item("op/config", configuration, 12), item("op/evacuate/south", "{}", 50)});
    BOOST_TEST(decode(document_entry(view, 0, 55)).m_revision == 50U);
    replace_items(view, {item("op/config", configuration, 12)});
    BOOST_TEST(decode(document_entry(view, 0, 70)).m_revision == 70U);
}

/// Guards against two documents of one revision, of which hosts keep the one with the removed key.
BOOST_AUTO_TEST_CASE(a_removal_read_together_with_a_newer_change_gives_a_later_revision)
{
    const std::vector<store_entry> items{item("op/config", configuration, 12),
                                         item("op/evacuate/south", "{}", 50)};
    const auto change = item("op/config", other_configuration, 60);
    operator_view watching;
    replace_items(watching, items);
    document_entry(watching, 0, 55);
    apply_changes(watching, {change});
    const auto before_removal = decode(document_entry(watching, 60, 60));

    operator_view reading;
    replace_items(reading, items);
    document_entry(reading, 0, 55);
    replace_items(reading, {change});
    const auto after_removal = decode(document_entry(reading, 0, 70));

    BOOST_TEST(before_removal.m_text != after_removal.m_text);
    BOOST_TEST(after_removal.m_revision > before_removal.m_revision);
}

/// Guards against the same where the reader never knew the removed key, as after its start.
BOOST_AUTO_TEST_CASE(a_removal_before_the_first_read_is_learned_from_the_first_watch)
{
    operator_view view;
    replace_items(view, {item("op/config", configuration, 60)});
    const auto first = decode(document_entry(view, 0, 70));
    BOOST_TEST(first.m_revision == 60U);
    BOOST_TEST(first_watch_revision(view, 70) == 60U);

    apply_changes(view, {item("op/evacuate/south", "", 0)});
    const auto after_removal = decode(document_entry(view, 65, 70));
    BOOST_TEST(after_removal.m_revision == 65U);
    BOOST_TEST(after_removal.m_text == first.m_text);
    BOOST_TEST(first_watch_revision(operator_view{}, 70) == 70U);
}

BOOST_AUTO_TEST_SUITE_END()
