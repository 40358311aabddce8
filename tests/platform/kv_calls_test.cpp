#include "platform/kv_calls.h"

#include <boost/test/unit_test.hpp>

using namespace chivevane;
using namespace chivevane::platform;

namespace {

const store_compare_and_swap write_operation{"a/b", 0, "value", 7};

} // namespace

BOOST_AUTO_TEST_SUITE(kv_calls)

BOOST_AUTO_TEST_CASE(operations_are_encoded_as_calls)
{
    BOOST_TEST(encode_call(store_read{"a/"}).m_head.m_target == "/chivevane/kv-range?prefix=a/");
    BOOST_TEST(encode_call(store_read{"a/", read_consistency::recent}, "a/x").m_head.m_target ==
               "/chivevane/kv-range?prefix=a/&after=a/x&serializable=1");
    BOOST_TEST(encode_call(store_watch{"op/", 41, 8s}).m_head.m_target ==
               "/chivevane/kv-watch?prefix=op/&after=41&wait-ms=8000");
    BOOST_TEST(encode_call(write_operation).m_body ==
               R"({"deletes":[],"expect":[{"key":"a/b","rev":0}],)"
               R"("puts":[{"key":"a/b","lease":7,"value":"dmFsdWU="}]})");
    BOOST_TEST(encode_call(store_renew_lease{9}).m_head.m_target == "/chivevane/kv-keep/9");
    BOOST_TEST(encode_call(store_revoke_lease{9}).m_head.m_method == "DELETE");
    BOOST_TEST(encode_call(store_grant_lease{3s}).m_body == R"({"ttl-ms":3000})");
}

BOOST_AUTO_TEST_CASE(pages_and_events_are_decoded)
{
    const auto page = decode_page(
        R"({"items":[{"key":"a/b","value":"dmFsdWU=","rev":41,"created-rev":41,"lease":0}],)"
        R"("has-more":true,"as-of":53})");
    BOOST_TEST_REQUIRE(!is_error(page));
    BOOST_TEST(value_of(page).m_has_more);
    BOOST_TEST(value_of(page).m_entries.m_revision == 53U);
    BOOST_TEST((value_of(page).m_entries.m_entries.at(0) == store_entry{"a/b", "value", 41}));
    const auto events =
        decode_page(R"({"events":[{"key":"a/b","rev":60,"removed":true}],"as-of":60})");
    BOOST_TEST((value_of(events).m_entries.m_entries.at(0) == store_entry{"a/b", "", 0}));
    BOOST_TEST(value_of(events).m_newest_change == 60U);
    BOOST_TEST(is_error(decode_page("{}")));
    BOOST_TEST(is_error(decode_page("not json")));
}

BOOST_AUTO_TEST_CASE(answers_are_decoded_to_outcomes)
{
    BOOST_TEST(
        (decode_outcome(write_operation, 200, R"({"rev":5})") == store_outcome{store_written{5}}));
    BOOST_TEST((decode_outcome(write_operation, 412,
                               R"({"items":[{"key":"a/b","value":"eA==","rev":3}]})") ==
                store_outcome{store_conflict{{"a/b", "x", 3}}}));
    BOOST_TEST((decode_outcome(write_operation, 412, R"({"items":[]})") ==
                store_outcome{store_conflict{{"a/b", "", 0}}}));
    BOOST_TEST(
        (decode_outcome(store_renew_lease{9}, 404, "") == store_outcome{store_lease_not_found{}}));
    BOOST_TEST((decode_outcome(store_grant_lease{3s}, 200, R"({"lease":9,"ttl-ms":3000})") ==
                store_outcome{store_lease{9, 3s}}));
    const auto kind = [](std::uint16_t status) {
        return std::get<store_failure>(decode_outcome(write_operation, status, "")).m_kind;
    };
    BOOST_TEST((kind(503) == store_failure_kind::not_done));
    BOOST_TEST((kind(429) == store_failure_kind::not_done));
    BOOST_TEST((kind(500) == store_failure_kind::unknown));
    BOOST_TEST((std::get<store_failure>(decode_outcome(write_operation, 200, "cut")).m_kind ==
                store_failure_kind::unknown));
}

BOOST_AUTO_TEST_SUITE_END()
