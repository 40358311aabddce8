// Attempts whose answer is several times later than usual, on an upstream that may have failed. The
// upstream may still be at work, so the attempt is not ended unless another one brings an answer.

#include "libpolicy/gate/gate_answers.h"
#include "libpolicy/probing_fixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

using namespace chivevane;
using namespace chivevane::test;

namespace {

/// A gate with one upstream that usually answers after 100 ms.
struct gate_fixture : probing_fixture {
    gate_fixture()
    {
        announce("tides-1", "tides");
        const host_record record{m_ingress, "marsh", {"127.0.1.2", 7001, 7002, 7003, 7004}};
        feed(datagram_received{m_ingress, 1, {}, record});
        m_host_state.m_admission.m_upstreams.at("tides-1").m_limit.m_limit = 4;
        auto& upstream = m_host_state.m_gate.m_upstreams.at("tides-1");
        for (int answers = 0; answers < 10; ++answers) {
            record_latency(upstream.m_latencies, "notes", 100ms);
        }
    }

    start_transfer send(const std::string& method)
    {
        attempt_metadata metadata{
            {m_ingress, ++m_last, 1}, 1, "tides-1", "tides", "notes", "blackmorass", ""};
        metadata.m_timeout_left = 5s;
        metadata.m_revision = 1;
        metadata.m_gate_clock = gate::clock_reading(m_now);
        request_head head{method, "/tides", {{"Host", "a"}}};
        add_attempt_metadata(head, metadata, 0, "secret");
        const auto started = effects_of_type<start_transfer>(
            feed(inbound_request{100 + m_last, listener_kind::gate, head, 0, 0}));
        BOOST_TEST_REQUIRE(started.size() == 1U);
        return started[0];
    }

    host_identity m_ingress{"marsh-2", 1};
    std::uint64_t m_last = 0;
};

/// Returns the attempts that `effects` report as stalled.
std::size_t count_stalled(const effect_list& effects)
{
    const auto datagrams = effects_of_type<send_datagram>(effects);
    return static_cast<std::size_t>(
        std::count_if(datagrams.begin(), datagrams.end(), [](const send_datagram& each) {
            const auto* const response = std::get_if<cancel_attempt_response>(&each.m_message);
            return response != nullptr && response->m_status == execution_status::stalled;
        }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(stalled_attempts)

BOOST_FIXTURE_TEST_CASE(a_gate_reports_silent_attempts_and_does_not_end_them, gate_fixture)
{
    const auto first = send("GET");
    send("GET");
    send("POST");
    const auto effects = advance(600ms);
    BOOST_TEST(effects_of_type<cancel_transfer>(effects).empty());
    BOOST_TEST(effects_of_type<respond>(effects).empty());
    BOOST_TEST(count_stalled(effects) == 2U); // The POST must not run elsewhere.
    BOOST_TEST(count_stalled(advance(600ms)) == 0U);
    const auto answer = feed(transfer_head{first.m_transfer, {200, {}}});
    BOOST_TEST(effects_of_type<relay_transfer>(answer).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_gate_answers_inquiries_about_a_stalled_attempt, gate_fixture)
{
    const auto first = send("GET");
    send("GET");
    advance(600ms);
    const attempt_id id{m_ingress, 1, 1};
    const auto clock = gate::clock_reading(m_now);
    const auto effects = feed(datagram_received{
        m_ingress, 2, {}, cancel_attempt_request{id, 1, clock, cancel_scope::not_received}});
    BOOST_TEST(count_stalled(effects) == 1U);
    BOOST_TEST(effects_of_type<cancel_transfer>(effects).empty());
}

BOOST_FIXTURE_TEST_CASE(a_stalled_attempt_goes_on_where_no_other_can_be_made,
                        probing_ingress_fixture)
{
    const auto first = send();
    m_host_state.m_ingress.m_retry_budget.m_budgets["tides"].m_retries = 0;
    const auto effects = report_stalled(first);
    BOOST_TEST(effects_of_type<start_transfer>(effects).empty());
    BOOST_TEST(effects_of_type<cancel_transfer>(effects).empty());
    BOOST_TEST(effects_of_type<respond>(effects).empty());
    BOOST_TEST(effects_of_type<relay_transfer>(answer(first, 200)).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(the_first_answer_of_two_attempts_is_relayed, probing_ingress_fixture)
{
    const auto first = send();
    const auto beside = effects_of_type<start_transfer>(report_stalled(first));
    BOOST_TEST_REQUIRE(beside.size() == 1U);
    BOOST_TEST(beside[0].m_ip != first.m_ip);
    BOOST_TEST(effects_of_type<start_transfer>(report_stalled(first)).empty());
    const auto effects = answer(beside[0], 200);
    BOOST_TEST(effects_of_type<relay_transfer>(effects).size() == 1U);
    const auto cancelled = effects_of_type<cancel_transfer>(effects);
    BOOST_TEST_REQUIRE(cancelled.size() == 1U);
    BOOST_TEST(cancelled[0].m_transfer == first.m_transfer);
}

BOOST_FIXTURE_TEST_CASE(refusals_of_other_gates_do_not_end_a_stalled_attempt,
                        probing_ingress_fixture)
{
    const auto first = send();
    auto beside = effects_of_type<start_transfer>(report_stalled(first));
    std::size_t refusals = 0;
    while (!beside.empty() && refusals < 20) {
        BOOST_TEST(beside[0].m_ip != first.m_ip);
        const auto effects = refuse_as_busy(beside[0]);
        BOOST_TEST(effects_of_type<respond>(effects).empty());
        beside = effects_of_type<start_transfer>(effects);
        ++refusals;
    }
    BOOST_TEST(refusals >= 2U); // Both other gates were asked.
    BOOST_TEST(effects_of_type<relay_transfer>(answer(first, 200)).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
