#include "libpolicy/configuration/document_record.h"
#include "libpolicy/gate/gate_answers.h"
#include "libpolicy/gate/tombstones.h"
#include "libpolicy/host_fixture.h"
#include "libwire/attempt_metadata.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace chivevane;
using namespace chivevane::test;

namespace {

/// Gate with one upstream, and the requests and datagrams that an ingress sends to it.
struct gate_fixture : host_fixture {
    gate_fixture()
    {
        load_sample_document();
        announce("permits-1", "permits");
        const host_record record{m_peer, "marsh", {"127.0.1.2", 7001, 7002, 7003, 7004}};
        feed(datagram_received{m_peer, 1, {}, record});
    }

    std::int64_t reading() const { return gate::clock_reading(m_now); }

    attempt_id next_attempt() { return {m_peer, ++m_last, 1}; }

    effect_list send(const attempt_id& id, std::int64_t clock, std::string method = "POST",
                     std::uint64_t incarnation = 1)
    {
        attempt_metadata metadata{id,        incarnation,   "permits-1", "permits",
                                  "permits", "blackmorass", "parish"};
        metadata.m_timeout_left = 2000ms;
        metadata.m_revision = 1;
        metadata.m_gate_clock = clock;
        request_head head{std::move(method), "/permits", {{"Host", "a"}}};
        add_attempt_metadata(head, metadata, 0, "secret");
        return feed(inbound_request{++m_exchange, listener_kind::gate, head, 0, 0});
    }

    std::string execution_status_of(const effect_list& effects) const
    {
        const auto answers = effects_of_type<respond>(effects);
        return answers.empty()
                   ? "none"
                   : std::string{*find_field(answers[0].m_head.m_fields, execution_status_field)};
    }

    execution_status request_cancellation(const attempt_id& id, std::int64_t clock,
                                          cancel_scope scope = cancel_scope::not_handed_over)
    {
        const auto effects =
            feed(datagram_received{m_peer, 2, {}, cancel_attempt_request{id, 1, clock, scope}});
        return std::get<cancel_attempt_response>(
                   effects_of_type<send_datagram>(effects).at(0).m_message)
            .m_status;
    }

    host_identity m_peer{"marsh-2", 1};
    std::uint64_t m_last = 0;
    exchange_id m_exchange = 100;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(gate_attempts, gate_fixture)

BOOST_AUTO_TEST_CASE(copies_of_an_attempt_do_not_run_and_are_not_reported_as_not_run)
{
    const auto id = next_attempt();
    BOOST_TEST(effects_of_type<start_transfer>(send(id, reading())).size() == 1U);
    BOOST_TEST(execution_status_of(send(id, reading())) == "run");
    BOOST_TEST((request_cancellation(id, reading()) == execution_status::may_have_run));
    BOOST_TEST((request_cancellation(id, reading(), cancel_scope::not_received) ==
                execution_status::in_progress));
    BOOST_TEST(execution_status_of(send(next_attempt(), reading(), "POST", 7)) == "run");
}

BOOST_AUTO_TEST_CASE(a_cancelled_attempt_never_runs_however_late_it_arrives)
{
    const auto id = next_attempt();
    const auto clock = reading();
    BOOST_TEST((request_cancellation(id, clock) == execution_status::not_run));
    for (int second = 0; second < 90; ++second) {
        const auto effects = send(id, clock);
        BOOST_TEST(effects_of_type<start_transfer>(effects).empty());
        BOOST_TEST(execution_status_of(effects) == (second < 30 ? "not-run" : "run"));
        advance(1s);
    }
    BOOST_TEST((request_cancellation(id, clock) == execution_status::unknown));
}

BOOST_AUTO_TEST_CASE(only_idempotent_attempts_run_without_a_clock_reading)
{
    BOOST_TEST(effects_of_type<start_transfer>(send(next_attempt(), 0, "GET")).size() == 1U);
    const auto effects = send(next_attempt(), 0);
    BOOST_TEST(effects_of_type<start_transfer>(effects).empty());
    const auto fields = effects_of_type<respond>(effects).at(0).m_head.m_fields;
    BOOST_TEST(*find_field(fields, reason_field) == gate::clock_required);
    BOOST_TEST(*find_field(fields, gate_clock_field) == std::to_string(reading()));
}

BOOST_AUTO_TEST_CASE(no_late_copy_of_a_refused_attempt_without_a_clock_reading_runs)
{
    const auto id = next_attempt();
    m_host_state.m_gate.m_is_leaving = true;
    const auto refused = send(id, 0, "GET");
    m_host_state.m_gate.m_is_leaving = false;
    BOOST_TEST(execution_status_of(refused) == "not-run");
    const auto fields = effects_of_type<respond>(refused).at(0).m_head.m_fields;
    BOOST_TEST(find_field(fields, final_refusal_field).has_value());
    for (int second = 0; second < 90; ++second) {
        const auto copy = send(id, 0, "GET");
        BOOST_TEST(effects_of_type<start_transfer>(copy).empty());
        advance(1s);
        announce("permits-1", "permits");
    }
    BOOST_TEST(effects_of_type<start_transfer>(send(next_attempt(), 0, "GET")).size() == 1U);
}

BOOST_AUTO_TEST_CASE(queued_attempts_are_refused_when_their_data_centre_is_taken_out)
{
    m_host_state.m_admission.m_upstreams.at("permits-1").m_limit.m_limit = 1;
    BOOST_TEST(effects_of_type<start_transfer>(send(next_attempt(), reading())).size() == 1U);
    const auto queued = send(next_attempt(), reading());
    BOOST_TEST_REQUIRE(execution_status_of(queued) == "none");
    const auto text = sample_document() + "datacentres_out: [marsh]\n";
    const stored_document stored{"blackmorass", 2, "edit-2", text, {}};
    const store_entry entry{"/chivevane/documents/blackmorass", encode_document_record(stored), 2};
    const auto effects =
        feed(store_response{2, store_purpose::document_read, store_entries{2, {entry}}});
    BOOST_TEST(execution_status_of(effects) == "not-run");
}

BOOST_AUTO_TEST_CASE(an_attempt_that_was_not_sent_as_its_ingress_left_is_known_not_to_have_run)
{
    const auto id = next_attempt();
    const auto started = effects_of_type<start_transfer>(send(id, reading()));
    BOOST_TEST_REQUIRE(started.size() == 1U);
    feed(transfer_ended{started[0].m_transfer, transfer_end::caller_left, 0, {}});
    BOOST_TEST((request_cancellation(id, reading()) == execution_status::not_run));
    const auto& upstream = m_host_state.m_admission.m_upstreams.at("permits-1");
    BOOST_TEST(upstream.m_running == 0U);
}

BOOST_AUTO_TEST_CASE(a_repeat_that_was_not_sent_does_not_make_its_attempt_not_run)
{
    const auto id = next_attempt();
    const auto started = effects_of_type<start_transfer>(send(id, reading(), "GET"));
    BOOST_TEST_REQUIRE(started.size() == 1U);
    m_host_state.m_gate.m_attempts.at(id).m_repeat = gate_repeat::used;
    feed(transfer_ended{started[0].m_transfer, transfer_end::caller_left, 0, {}});
    BOOST_TEST((request_cancellation(id, reading()) == execution_status::may_have_run));
}

BOOST_AUTO_TEST_CASE(an_upstream_that_says_that_it_is_leaving_gets_no_more_attempts)
{
    const auto id = next_attempt();
    const auto started = effects_of_type<start_transfer>(send(id, reading()));
    BOOST_TEST_REQUIRE(started.size() == 1U);
    BOOST_TEST(effects_of_type<respond>(send(next_attempt(), reading())).empty()); // It is queued.
    const response_head head{200, {{"X-Request-Id", to_string(id)}, {"X-Leaving", "1"}}};
    const auto effects = feed(transfer_head{started[0].m_transfer, head});
    BOOST_TEST(effects_of_type<relay_transfer>(effects).size() == 1U);
    BOOST_TEST(execution_status_of(effects) == "not-run");
    BOOST_TEST(execution_status_of(send(next_attempt(), reading())) == "not-run");
    announce("permits-1", "permits"); // Sent before it began to leave.
    BOOST_TEST(execution_status_of(send(next_attempt(), reading())) == "not-run");
    const auto& own = m_host_state.m_membership.m_own_record.m_upstreams;
    BOOST_TEST((own.at(0).m_phase == upstream_phase::draining));
}

BOOST_AUTO_TEST_CASE(a_full_gate_refuses_with_an_unknown_outcome)
{
    auto& statuses = m_host_state.m_gate.m_tombstones.m_statuses;
    while (statuses.size() < gate::max_remembered_attempts) {
        statuses[next_attempt()] = execution_status::may_have_run;
    }
    const auto effects = send(next_attempt(), reading());
    BOOST_TEST(effects_of_type<start_transfer>(effects).empty());
    BOOST_TEST(execution_status_of(effects) == "run");
    BOOST_TEST((request_cancellation(next_attempt(), reading()) == execution_status::unknown));
    BOOST_TEST(statuses.size() == gate::max_remembered_attempts);
}

BOOST_AUTO_TEST_CASE(a_request_that_must_not_run_twice_gets_a_fresh_connection)
{
    const auto post = effects_of_type<start_transfer>(send(next_attempt(), reading()));
    // The first attempt ends, as a cold upstream runs only one at a time.
    feed(transfer_head{post.at(0).m_transfer, {200, {}}});
    feed(transfer_ended{post.at(0).m_transfer, transfer_end::complete});
    const auto get = effects_of_type<start_transfer>(send(next_attempt(), reading(), "GET"));
    BOOST_TEST((post.at(0).m_connection_reuse == connection_reuse::forbidden));
    BOOST_TEST((get.at(0).m_connection_reuse == connection_reuse::allowed));
}

BOOST_AUTO_TEST_CASE(
    a_gate_in_a_data_centre_that_is_out_refuses_new_attempts_and_finishes_running_ones)
{
    const auto running = effects_of_type<start_transfer>(send(next_attempt(), reading())).at(0);
    const stored_document stored{"blackmorass", 2, "edit-2",
                                 sample_document() + "datacentres_out: [marsh]\n"};
    const store_entry entry{"/chivevane/documents/blackmorass", encode_document_record(stored), 2};
    feed(store_response{1, store_purpose::document_watch, store_entries{2, {entry}}});
    const auto effects = send(next_attempt(), reading());
    BOOST_TEST(effects_of_type<start_transfer>(effects).empty());
    BOOST_TEST(execution_status_of(effects) == "not-run");
    const auto answer = feed(transfer_head{running.m_transfer, {200, {}}});
    BOOST_TEST(effects_of_type<relay_transfer>(answer).size() == 1U);
}

BOOST_AUTO_TEST_CASE(
    a_gate_that_is_not_the_owner_refuses_a_suspected_request_and_names_the_crashed_run)
{
    host_record record{m_peer, "marsh", {"127.0.1.2", 7001, 7002, 7003, 7004}};
    record.m_upstreams.push_back({"permits-1", "permits", 4, 4, 0, warm_up_state::warm});
    record.m_upstream_count = 1;
    record.m_version = 1;
    feed(datagram_received{m_peer, 3, {}, record});
    const std::string crashed_run = "marsh-1/permits-1/1";
    feed(datagram_received{m_peer, 4, {}, crash_report{0, crashed_run}});
    const auto refused = send(next_attempt(), reading());
    BOOST_TEST(execution_status_of(refused) == "not-run");
    const auto fields = effects_of_type<respond>(refused).at(0).m_head.m_fields;
    BOOST_TEST(find_field(fields, crashed_run_field).value_or("") == crashed_run);
    feed(datagram_received{m_peer, 5, {}, crash_report{0, crashed_run, crash_evidence::withdrawn}});
    BOOST_TEST(effects_of_type<start_transfer>(send(next_attempt(), reading())).size() == 1U);
}

/// Guards against relaying a status that no final answer has and counting its upstream as good.
BOOST_AUTO_TEST_CASE(an_answer_with_an_invalid_status_is_a_failure_of_its_upstream)
{
    for (const std::uint16_t status : {0, 99, 101, 150, 199, 600, 999}) {
        for (const auto* const method : {"GET", "POST"}) {
            gate_fixture host;
            host.m_host_state.m_settings.m_placement = placement_mode::probing;
            const auto order = effects_of_type<start_transfer>(
                                   host.send(host.next_attempt(), host.reading(), method))
                                   .at(0);
            const auto effects = host.feed(transfer_head{order.m_transfer, {status, {}}});
            BOOST_TEST(effects_of_type<relay_transfer>(effects).empty());
            BOOST_TEST(effects_of_type<cancel_transfer>(effects).size() == 1U);
            BOOST_TEST(effects_of_type<respond>(effects).at(0).m_head.m_status == 502);
            BOOST_TEST(host.execution_status_of(effects) == "run");
            const auto& circuit = host.m_host_state.m_gate.m_upstreams.at("permits-1").m_circuit;
            BOOST_TEST((circuit.m_phase == circuit_phase::open));
        }
    }
}

BOOST_AUTO_TEST_CASE(an_attempt_that_waited_through_a_pause_of_its_gate_is_not_run)
{
    advance(100ms);
    const auto before_pause = reading();
    m_now += 3s; // Longer than the 2 s that the attempts have left.
    const auto effects = send(next_attempt(), before_pause);
    BOOST_TEST(execution_status_of(effects) == "not-run");
    BOOST_TEST(effects_of_type<start_transfer>(effects).empty());

    // A probe that is sent after the pause and answered shows that nothing older is left to read.
    const auto round = advance(1ms);
    const auto datagrams = effects_of_type<send_datagram>(round);
    const auto sent =
        std::find_if(datagrams.begin(), datagrams.end(), [](const send_datagram& each) {
            return std::holds_alternative<probe>(each.m_message);
        });
    BOOST_TEST_REQUIRE((sent != datagrams.end()));
    feed(datagram_received{m_peer, 3, {}, probe_ack{std::get<probe>(sent->m_message).m_nonce, 1}});
    BOOST_TEST(!effects_of_type<start_transfer>(send(next_attempt(), reading())).empty());
}

BOOST_AUTO_TEST_SUITE_END()
