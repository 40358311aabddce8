#include "libpolicy/gate/gate_answers.h"
#include "libpolicy/host_fixture.h"
#include "libwire/attempt_metadata.h"

#include <boost/test/unit_test.hpp>

using namespace chivevane;
using namespace chivevane::test;

namespace {

constexpr std::string_view document_text = R"(document: marsh
services:
  - {name: tides, floor: 0.5, cold_rate: 10, health_path: /healthz}
routes:
  - {name: notes, path_prefix: /tides, service: tides, open_to_all: true, idempotent: true}
)";

/// Gate with one warm upstream that completes every request at once.
struct health_fixture : host_fixture {
    health_fixture()
    {
        m_host_state.m_settings.m_placement = placement_mode::probing;
        // 10 * 1.5 + 5 = 20 starts in any second.
        m_host_state.m_settings.m_cold_tolerance = {1.5, 5};
        load_document("marsh", document_text);
        announce("tides-1", "tides");
    }

    /// Sends an attempt that must not be queued, and completes it. Returns whether it was started.
    /// Health checks that it caused are added to `m_checks`.
    bool starts_one()
    {
        attempt_metadata metadata{
            {m_peer, ++m_last, 1}, 1, "tides-1", "tides", "notes", "marsh", ""};
        metadata.m_timeout_left = 2000ms;
        metadata.m_revision = 1;
        metadata.m_gate_clock = gate::clock_reading(m_now);
        metadata.m_queueing = queueing_permission::forbidden;
        metadata.m_repeat = repeat_permission::allowed;
        request_head head{"GET", "/tides", {{"Host", "a"}}};
        add_attempt_metadata(head, metadata, 0, "secret");
        const auto effects = feed(inbound_request{++m_exchange, listener_kind::gate, head, 0, 0});
        bool is_started = false;
        for (const auto& transfer : effects_of_type<start_transfer>(effects)) {
            if (transfer.m_peer == transfer_peer::upstream_health) {
                m_checks.push_back(transfer);
                continue;
            }
            is_started = true;
            const auto id = find_field(transfer.m_head.m_fields, "X-Request-Id").value_or("");
            feed(transfer_head{transfer.m_transfer, {200, {{"X-Request-Id", std::string{id}}}}});
            feed(transfer_ended{transfer.m_transfer, transfer_end::complete});
        }
        return is_started;
    }

    std::size_t start_many(std::size_t offered, duration apart)
    {
        std::size_t started = 0;
        for (std::size_t count = 0; count < offered; ++count) {
            advance(apart);
            started += starts_one() ? 1 : 0;
        }
        return started;
    }

    void answer_check(response_head head)
    {
        const auto transfer = m_checks.back().m_transfer;
        feed(transfer_head{transfer, std::move(head)});
        feed(transfer_ended{transfer, transfer_end::complete});
    }

    std::vector<start_transfer> m_checks;
    host_identity m_peer{"marsh-2", 1};
    std::uint64_t m_last = 0;
    exchange_id m_exchange = 100;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(health_checks, health_fixture)

BOOST_AUTO_TEST_CASE(an_upstream_with_little_load_gets_no_health_checks)
{
    BOOST_TEST(start_many(40, 120ms) == 40U); // About eight starts a second.
    BOOST_TEST(m_checks.empty());
}

BOOST_AUTO_TEST_CASE(without_an_answer_starts_stay_within_what_a_cold_upstream_tolerates)
{
    BOOST_TEST(start_many(50, 10ms) == 20U);
    BOOST_TEST_REQUIRE(!m_checks.empty());
    BOOST_TEST(m_checks[0].m_head.m_method == "GET");
    BOOST_TEST(m_checks[0].m_head.m_target == "/healthz");
    BOOST_TEST(m_checks[0].m_port == 9000);
}

BOOST_AUTO_TEST_CASE(a_warm_answer_lets_more_attempts_start)
{
    start_many(15, 10ms);
    answer_check({200, {{"X-Endpoint", "tides-1"}}});
    BOOST_TEST(start_many(50, 5ms) == 15U); // Five of the first 15 came after the check was sent.
}

BOOST_AUTO_TEST_CASE(a_cold_answer_limits_starts_to_the_cold_rate)
{
    start_many(15, 10ms);
    answer_check({200, {{"X-Endpoint", "tides-1"}, {"X-Cold-Ms", "2500"}}});
    BOOST_TEST(start_many(50, 5ms) == 0U);
    advance(1s);
    BOOST_TEST(start_many(50, 5ms) == 10U);
}

BOOST_AUTO_TEST_CASE(answers_from_another_endpoint_or_with_an_error_status_are_ignored)
{
    start_many(15, 10ms);
    answer_check({200, {{"X-Endpoint", "another"}}});
    BOOST_TEST(start_many(50, 5ms) == 5U);
    advance(1100ms);
    start_many(15, 10ms);
    answer_check({503, {{"X-Endpoint", "tides-1"}}});
    BOOST_TEST(start_many(50, 5ms) == 5U);
}

BOOST_AUTO_TEST_CASE(an_unanswered_check_is_cancelled_and_sent_again)
{
    start_many(15, 10ms);
    BOOST_TEST_REQUIRE(m_checks.size() == 1U);
    const auto first = m_checks[0].m_transfer;
    bool was_cancelled = false;
    for (int step = 0; step < 12; ++step) {
        for (const auto& order : effects_of_type<cancel_transfer>(advance(100ms))) {
            was_cancelled = was_cancelled || order.m_transfer == first;
        }
    }
    BOOST_TEST(was_cancelled);
    start_many(15, 10ms);
    BOOST_TEST(m_checks.size() == 2U);
}

BOOST_AUTO_TEST_CASE(checks_are_sent_at_intervals)
{
    for (int step = 0; step < 300; ++step) {
        const auto before = m_checks.size();
        start_many(1, 10ms);
        if (m_checks.size() > before) {
            answer_check({200, {}});
        }
    }
    BOOST_TEST(m_checks.size() >= 5U); // The test lasts three seconds.
    BOOST_TEST(m_checks.size() <= 9U);
}

BOOST_AUTO_TEST_SUITE_END()
