#include "libbase/digest.h"
#include "libdocument/diff_documents.h"
#include "libdocument/document_samples.h"
#include "libdocument/edit_document.h"
#include "libdocument/format_document.h"
#include "libdocument/parse_document.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace chivevane;
using namespace chivevane::test;

BOOST_AUTO_TEST_SUITE(edits)

namespace {

const api_key new_key{"new", sha256_hex("new")};

std::vector<std::string> lines_of_diff(std::string_view before, std::string_view after)
{
    std::vector<std::string> lines;
    for (const auto& change :
         diff_documents(value_of(parse_document(before)), value_of(parse_document(after)))) {
        lines.push_back(to_line(change));
    }
    return lines;
}

/// Checks that an edit of the commented document is made in place, that `line` is its whole diff,
/// and that at most one comment is lost: the one on a removed line.
void check_edit(const result<edited_document>& edit, const std::string& line)
{
    BOOST_TEST_REQUIRE(!is_error(edit));
    const auto before = commented_document();
    const auto& after = value_of(edit).m_text;
    BOOST_TEST((value_of(edit).m_extent == edit_extent::in_place), after);
    BOOST_TEST(lines_of_diff(before, after) == std::vector{line}, boost::test_tools::per_element());
    BOOST_TEST(std::count(after.begin(), after.end(), '#') >=
               std::count(before.begin(), before.end(), '#') - 1);
}

void check_error(const result<edited_document>& edit, error_kind kind)
{
    BOOST_TEST_REQUIRE(is_error(edit));
    BOOST_TEST((error_of(edit).m_kind == kind), describe(error_of(edit)));
}

} // namespace

BOOST_AUTO_TEST_CASE(keys_are_added_and_removed_in_place)
{
    const auto text = commented_document();
    for (const auto* const owner : {"parish", "rangers", "ferry", "mill"}) {
        const auto added = add_key(text, owner, new_key);
        check_edit(added, fmt::format("+ key {}/new: {}", owner, new_key.m_digest));
        const auto restored = withdraw_key(value_of(added).m_text, owner, "new");
        BOOST_TEST_REQUIRE(!is_error(restored));
        BOOST_TEST((value_of(restored).m_extent == edit_extent::in_place));
        BOOST_TEST(lines_of_diff(text, value_of(restored).m_text).empty());
    }
    check_edit(withdraw_key(text, "parish", "first"), "- key parish/first: " + sha256_hex("1"));
    check_edit(withdraw_key(text, "parish", "second"), "- key parish/second: " + sha256_hex("2"));
    check_edit(withdraw_key(text, "mill", "a"), "- key mill/a: " + sha256_hex("3"));
    check_edit(withdraw_key(text, "mill", "b"), "- key mill/b: " + sha256_hex("4"));
}

BOOST_AUTO_TEST_CASE(data_centres_leave_and_return_to_service_in_place)
{
    const auto text = commented_document();
    check_edit(take_datacentre_out(text, "reed"), "+ datacentre reed: out");
    check_edit(bring_datacentre_in(text, "marsh"), "- datacentre marsh: out");
    check_edit(bring_datacentre_in(text, "dike"), "- datacentre dike: out");
    const edited_document unchanged{text, edit_extent::nothing};
    BOOST_TEST((value_of(take_datacentre_out(text, "marsh")) == unchanged));
    BOOST_TEST((value_of(bring_datacentre_in(text, "reed")) == unchanged));
}

BOOST_AUTO_TEST_CASE(impossible_edits_are_refused)
{
    const auto text = commented_document();
    check_error(add_key(text, "nobody", new_key), error_kind::not_found);
    check_error(add_key(text, "parish", {"first", new_key.m_digest}), error_kind::duplicate);
    check_error(add_key(text, "ferry", {"new", sha256_hex("1")}), error_kind::duplicate);
    check_error(add_key(text, "ferry", {"new", "0"}), error_kind::out_of_range);
    check_error(add_key("x: 1", "ferry", new_key), error_kind::unknown_field);
    check_error(withdraw_key(text, "nobody", "first"), error_kind::not_found);
    check_error(withdraw_key(text, "ferry", "first"), error_kind::not_found);
    check_error(take_datacentre_out(text, "a b"), error_kind::out_of_range);
}

BOOST_AUTO_TEST_CASE(a_layout_that_cannot_be_edited_in_place_is_replaced_by_the_canonical_form)
{
    const auto edit = bring_datacentre_in("{document: d, datacentres_out: [\"a\\x41\", b]}", "aA");
    BOOST_TEST_REQUIRE(!is_error(edit));
    BOOST_TEST(value_of(edit).m_text == "document: d\ndatacentres_out: [b]\n");
    BOOST_TEST((value_of(edit).m_extent == edit_extent::whole_document));
}

BOOST_AUTO_TEST_CASE(any_document_can_be_edited_back_and_forth)
{
    BOOST_TEST(rc::check("edits", [] {
        const auto parsed_document = *any_document();
        auto text = format_document(parsed_document);
        for (const auto& owner : parsed_document.m_organisations) {
            text = value_of(add_key(text, owner.m_name, {"new", sha256_hex(owner.m_name)})).m_text;
            for (const auto& key : owner.m_keys) {
                text = value_of(withdraw_key(text, owner.m_name, key.m_name)).m_text;
            }
        }
        text = value_of(take_datacentre_out(text, "reed")).m_text;
        for (const auto& datacentre : parsed_document.m_datacentres_out) {
            text = value_of(bring_datacentre_in(text, datacentre)).m_text;
        }
        auto expected = parsed_document;
        expected.m_datacentres_out = {"reed"};
        for (auto& owner : expected.m_organisations) {
            owner.m_keys = {{"new", sha256_hex(owner.m_name)}};
        }
        RC_LOG() << text;
        RC_ASSERT(value_of(parse_document(text)) == expected);
    }));
}

BOOST_AUTO_TEST_CASE(a_diff_names_each_field)
{
    const auto before = commented_document();
    auto parsed_document = value_of(parse_document(before));
    parsed_document.m_name = "other";
    parsed_document.m_organisations[0].m_rate = 12.5;
    parsed_document.m_organisations[0].m_keys[0].m_digest = new_key.m_digest;
    parsed_document.m_organisations.pop_back();
    parsed_document.m_services[0].m_floor = 0.75;
    parsed_document.m_services.push_back({"herdbook", 0.25});
    parsed_document.m_routes[1].m_methods = {};
    parsed_document.m_routes[1].m_timeout = 3s;
    parsed_document.m_routes[0].m_name = "tide-notes";
    parsed_document.m_datacentres_out = {"reed", "dike"};
    const std::string notes_rest = ", path_prefix: /tides, service: tides, open_to_all: true, "
                                   "timeout_ms: 10000, attempts: 3}";
    const std::vector<std::string> expected{
        "~ document blackmorass name: blackmorass -> other",
        "~ organisation parish rate: 10 -> 12.5",
        fmt::format("~ key parish/first digest: {} -> {}", sha256_hex("1"), new_key.m_digest),
        "- organisation mill: {rate: 1, burst: 1}",
        "- key mill/a: " + sha256_hex("3"),
        "- key mill/b: " + sha256_hex("4"),
        "~ service tides floor: 0.5 -> 0.75",
        "+ service herdbook: {floor: 0.25}",
        "- route notes: {name: notes" + notes_rest,
        "~ route permits methods: GET POST -> all",
        "~ route permits timeout_ms: 2000 -> 3000",
        "+ route tide-notes: {name: tide-notes" + notes_rest,
        "- datacentre marsh: out",
        "+ datacentre reed: out",
    };
    BOOST_TEST(lines_of_diff(before, format_document(parsed_document)) == expected,
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_diff_is_empty_only_for_equal_documents)
{
    BOOST_TEST(rc::check("diff", [] {
        const auto before = *any_document();
        const auto after = *any_document();
        RC_ASSERT(diff_documents(before, before).empty());
        RC_ASSERT(diff_documents(before, after).empty() == (before == after));
        RC_ASSERT(diff_documents(before, after).size() == diff_documents(after, before).size());
    }));
}

BOOST_AUTO_TEST_SUITE_END()
