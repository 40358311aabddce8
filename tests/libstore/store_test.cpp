#include "libbase/result.h"
#include "libstore/store_json.h"
#include "libstore/store_model.h"

#include <boost/test/unit_test.hpp>

using namespace chivevane;

namespace {

constexpr instant start{1h};

store_outcome compare_and_swap(store_model& store, std::uint64_t expected, const std::string& value,
                               std::uint64_t lease = 0)
{
    return apply_store_operation(store, store_compare_and_swap{"/a/key", expected, value, lease},
                                 start);
}

} // namespace

BOOST_AUTO_TEST_SUITE(store)

BOOST_AUTO_TEST_CASE(operations_and_outcomes_survive_encoding_and_decoding)
{
    const std::vector<store_operation> operations{
        store_read{"/a/"},      store_compare_and_swap{"/a/b", 3, "line\n\"quoted\"", 4},
        store_grant_lease{30s}, store_renew_lease{7},
        store_revoke_lease{7},  store_watch{"/a/", 9, 20s},
    };
    for (const auto& operation : operations) {
        const auto text = value_of(encode_store_operation(operation));
        BOOST_TEST((value_of(decode_store_operation(text.m_target, text.m_body)) == operation));
    }
    const std::vector<store_outcome> outcomes{
        store_entries{4, {{"/a/b", "c", 2}}},
        store_written{5},
        store_conflict{{"/a/b", "c", 2}},
        store_lease{7, 30s},
        store_lease_not_found{},
    };
    for (const auto& outcome : outcomes) {
        const auto text = encode_store_outcome(outcome);
        BOOST_TEST((decode_store_outcome(text.m_status, text.m_body) == outcome));
    }
}

BOOST_AUTO_TEST_CASE(text_that_is_not_utf8_fails_to_encode)
{
    BOOST_TEST(is_error(encode_store_operation(store_read{"\xff"})));
}

BOOST_AUTO_TEST_CASE(an_undecodable_response_leaves_the_outcome_unknown)
{
    const auto outcome = decode_store_outcome(200, "<html>");
    BOOST_TEST((std::get<store_failure>(outcome).m_kind == store_failure_kind::unknown));
}

BOOST_AUTO_TEST_CASE(only_one_of_two_concurrent_writers_succeeds)
{
    store_model model;
    BOOST_TEST(std::holds_alternative<store_written>(compare_and_swap(model, 0, "first")));
    const auto lost = std::get<store_conflict>(compare_and_swap(model, 0, "second"));
    BOOST_TEST(lost.m_current.m_value == "first");
    BOOST_TEST(std::holds_alternative<store_written>(
        compare_and_swap(model, lost.m_current.m_version, "second")));
}

BOOST_AUTO_TEST_CASE(an_expired_lease_deletes_its_keys_and_the_watch_reports_it)
{
    store_model model;
    const auto lease =
        std::get<store_lease>(apply_store_operation(model, store_grant_lease{10s}, start)).m_lease;
    const auto written =
        std::get<store_written>(compare_and_swap(model, 0, "mine", lease)).m_version;
    const auto renewed = apply_store_operation(model, store_renew_lease{lease}, start + 9s);
    BOOST_TEST(std::holds_alternative<store_lease>(renewed));
    const auto seen = apply_store_operation(model, store_watch{"/a/", written, 1s}, start + 20s);
    BOOST_TEST(std::get<store_entries>(seen).m_entries.at(0).m_version == 0);
    const auto late = apply_store_operation(model, store_renew_lease{lease}, start + 20s);
    BOOST_TEST(std::holds_alternative<store_lease_not_found>(late));
}

BOOST_AUTO_TEST_SUITE_END()
