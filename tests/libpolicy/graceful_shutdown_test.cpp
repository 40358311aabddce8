#include "libpolicy/host_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace chivevane;
using namespace chivevane::test;

namespace {

/// A host with one upstream that does not answer.
struct graceful_shutdown_fixture : host_fixture {
    graceful_shutdown_fixture()
    {
        m_host_state.m_settings.m_shutdown_limit = 500ms;
        load_sample_document();
        announce("permits-1", "permits");
    }

    effect_list send()
    {
        const request_head head{
            "POST", "/permits", {{"Host", "a"}, {"Authorization", "Bearer parish-key"}}};
        return feed(inbound_request{7, listener_kind::caller, head, 0, 0});
    }

    /// Requests that the host leaves and returns all effects until the process stops.
    effect_list leave()
    {
        effect_list all = feed(leave_requested{});
        for (int step = 0; step < 12 && effects_of_type<stop_process>(all).empty(); ++step) {
            for (auto& each : advance(100ms)) {
                all.push_back(std::move(each));
            }
        }
        return all;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(graceful_shutdown, graceful_shutdown_fixture)

BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_is_answered_as_unknown_before_the_end)
{
    BOOST_TEST_REQUIRE(effects_of_type<start_transfer>(send()).size() == 1U);
    const auto effects = leave();
    const auto answers = effects_of_type<respond>(effects);
    BOOST_TEST_REQUIRE(answers.size() == 1U);
    BOOST_TEST(answers[0].m_exchange == 7U);
    BOOST_TEST(answers[0].m_head.m_status == 502);
    BOOST_TEST(answers[0].m_body.find("unknown") != std::string::npos);
    BOOST_TEST(effects_of_type<stop_process>(effects).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_second_request_to_leave_answers_unfinished_requests_at_once)
{
    send();
    feed(leave_requested{});
    const auto effects = feed(leave_requested{});
    BOOST_TEST(effects_of_type<respond>(effects).size() == 1U);
    BOOST_TEST(!effects_of_type<stop_process>(effects).empty());
}

BOOST_AUTO_TEST_SUITE_END()
