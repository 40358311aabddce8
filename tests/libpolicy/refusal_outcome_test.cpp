// What callers are told of requests that no upstream ran: 503 and `not-run`, so that they may send
// them again, and nothing else.

#include "libpolicy/probing_fixture.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <set>
#include <string>

using namespace chivevane;
using namespace chivevane::test;

namespace {

/// Sends an idempotent request and lets `fail` end each attempt until the caller has an answer.
respond answer_when_all_fail(probing_ingress_fixture& host,
                             const std::function<effect_list(const start_transfer&)>& fail)
{
    auto attempt = host.send();
    for (int attempts = 0; attempts < 20; ++attempts) {
        const auto effects = fail(attempt);
        const auto answers = effects_of_type<respond>(effects);
        if (!answers.empty()) {
            return answers[0];
        }
        const auto started = effects_of_type<start_transfer>(effects);
        BOOST_TEST_REQUIRE(started.size() == 1U);
        attempt = started[0];
    }
    BOOST_FAIL("The request has no answer.");
    return {};
}

bool says_not_run(const respond& answer)
{
    return answer.m_body.find("\"outcome\":\"not-run\"") != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(refusal_outcomes, probing_ingress_fixture)

BOOST_AUTO_TEST_CASE(a_request_that_all_gates_refuse_for_good_is_answered_as_not_run)
{
    // The first request to a gate carries no clock reading.
    const auto answer = answer_when_all_fail(*this, [this](const start_transfer& attempt) {
        return refuse_as_busy(attempt, {{std::string{final_refusal_field}, "1"}});
    });
    BOOST_TEST(answer.m_head.m_status == 503);
    BOOST_TEST(says_not_run(answer));
}

BOOST_AUTO_TEST_CASE(gates_that_ask_for_a_clock_reading_do_not_use_up_the_attempts)
{
    for (int host = 5; host < 12; ++host) {
        add_host("marsh-" + std::to_string(host), "permits");
    }
    auto attempt = send_once_only();
    std::set<std::string> asked;
    std::size_t with_reading = 0;
    for (int attempts = 0; attempts < 40; ++attempts) {
        const bool is_first = asked.insert(attempt.m_ip).second;
        with_reading += is_first ? 0U : 1U;
        const auto effects = is_first ? require_clock(attempt) : refuse_as_busy(attempt);
        const auto started = effects_of_type<start_transfer>(effects);
        if (started.empty()) {
            const auto answer = effects_of_type<respond>(effects).at(0);
            BOOST_TEST(answer.m_head.m_status == 503);
            BOOST_TEST(answer.m_body.find("unreachable") == std::string::npos);
            break;
        }
        attempt = started[0];
    }
    BOOST_TEST(with_reading >= 6U); // Idle gates are tried, then queues.
}

BOOST_AUTO_TEST_CASE(a_refusal_that_is_not_final_promises_nothing)
{
    const auto answer = answer_when_all_fail(
        *this, [this](const start_transfer& attempt) { return refuse_as_busy(attempt); });
    BOOST_TEST(answer.m_head.m_status == 502);
    BOOST_TEST(!says_not_run(answer));
}

BOOST_AUTO_TEST_CASE(a_request_that_reaches_no_gate_is_answered_as_not_run)
{
    const auto answer = answer_when_all_fail(*this, [this](const start_transfer& attempt) {
        return feed(transfer_ended{attempt.m_transfer, transfer_end::connect_failed, 0, {}});
    });
    BOOST_TEST(answer.m_head.m_status == 503);
    BOOST_TEST(answer.m_body.find("unreachable") != std::string::npos);
    BOOST_TEST(says_not_run(answer));
}

BOOST_AUTO_TEST_SUITE_END()
