#include "libpolicy/host_fixture.h"
#include "libwire/attempt_metadata.h"

#include <boost/test/unit_test.hpp>

using namespace chivevane;
using namespace chivevane::test;

BOOST_FIXTURE_TEST_SUITE(request_path, host_fixture)

BOOST_AUTO_TEST_CASE(a_request_is_refused_before_the_documents_are_known)
{
    const auto effects = feed(inbound_request{
        1, listener_kind::caller, {"GET", "/tides", {{"Host", "tides.example"}}}, 0, 0});
    BOOST_TEST(effects_of_type<respond>(effects).at(0).m_head.m_status == 503);
}

BOOST_AUTO_TEST_CASE(a_request_with_a_key_passes_ingress_and_gate_without_forwarding_the_key)
{
    load_sample_document();
    announce("permits-1", "permits");
    const request_head head{
        "POST", "/permits/7", {{"Host", "a"}, {"Authorization", "Bearer parish-key"}}};

    const auto to_gate = effects_of_type<start_transfer>(
                             feed(inbound_request{1, listener_kind::caller, head, 3, 42}))
                             .at(0);
    BOOST_TEST(to_gate.m_port == 7002);
    BOOST_TEST(!find_field(to_gate.m_head.m_fields, "Authorization"));

    const auto to_upstream =
        effects_of_type<start_transfer>(
            feed(inbound_request{2, listener_kind::gate, to_gate.m_head, 3, 42}))
            .at(0);
    BOOST_TEST(to_upstream.m_port == 9000);
    BOOST_TEST(!find_field(to_upstream.m_head.m_fields, attempt_field));

    const auto gate_answer =
        effects_of_type<relay_transfer>(feed(transfer_head{to_upstream.m_transfer, {201, {}}}))
            .at(0);
    BOOST_TEST(gate_answer.m_exchange == 2);

    const auto caller_answer = effects_of_type<relay_transfer>(
                                   feed(transfer_head{to_gate.m_transfer, *gate_answer.m_head}))
                                   .at(0);
    BOOST_TEST(caller_answer.m_exchange == 1);
    BOOST_TEST(caller_answer.m_head->m_status == 201);
    BOOST_TEST(!find_field(caller_answer.m_head->m_fields, attempt_field));

    const auto gate_end = feed(transfer_ended{to_upstream.m_transfer, transfer_end::complete});
    BOOST_TEST(effects_of_type<finish_exchange>(gate_end).at(0).m_exchange == 2);
    const auto caller_end = feed(transfer_ended{to_gate.m_transfer, transfer_end::complete});
    BOOST_TEST(effects_of_type<finish_exchange>(caller_end).at(0).m_exchange == 1);
}

BOOST_AUTO_TEST_CASE(a_request_without_a_known_key_is_refused)
{
    load_sample_document();
    announce("permits-1", "permits");
    request_head head{"GET", "/permits", {{"Host", "a"}}};
    auto answer =
        effects_of_type<respond>(feed(inbound_request{1, listener_kind::caller, head, 0, 0})).at(0);
    BOOST_TEST(answer.m_head.m_status == 401);
    BOOST_TEST(answer.m_body.find("\"outcome\":\"not-run\"") != std::string::npos);

    head.m_fields.push_back({"X-Api-Key", "stranger"});
    answer =
        effects_of_type<respond>(feed(inbound_request{2, listener_kind::caller, head, 0, 0})).at(0);
    BOOST_TEST(answer.m_body.find("key-unknown") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(declaring_a_host_dead_is_acknowledged_and_recorded)
{
    const auto effects = feed(host_declared_dead{5, "marsh-9"});
    BOOST_TEST(effects_of_type<respond>(effects).at(0).m_head.m_status == 202);
    BOOST_TEST(effects_of_type<record_event>(effects).at(0).m_name == "host-declared-dead");
}

BOOST_AUTO_TEST_CASE(an_open_route_needs_no_key)
{
    load_sample_document();
    announce("tides-1", "tides");
    const request_head head{"GET", "/tides/today", {{"Host", "a"}}};
    const auto effects = feed(inbound_request{1, listener_kind::caller, head, 0, 0});
    BOOST_TEST(effects_of_type<start_transfer>(effects).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
