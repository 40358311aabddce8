#include "libhttp/connection_limit.h"

#include "libhttp/misbehaving_caller_fixture.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace chivevane;
using namespace chivevane::test;

BOOST_FIXTURE_TEST_SUITE(connection_limits, misbehaving_caller_fixture)

// Guards against idle connections that keep new callers out, and against closing a connection whose
// request is in progress.
BOOST_AUTO_TEST_CASE(the_connection_that_is_idle_longest_makes_room_for_a_new_one)
{
    m_keeps_requests = true;
    auto& busy = send(head_of(0));
    BOOST_TEST(run_until([&] { return !m_requests.empty(); }));
    auto& first_idle = connect();
    auto& second_idle = connect();
    connect();
    run_for(20ms);
    auto& newcomer = send(head_of(0));
    BOOST_TEST(run_until([&] { return first_idle.m_has_ended && m_requests.size() == 2; }));
    BOOST_TEST(!second_idle.m_has_ended);
    BOOST_TEST(!busy.m_has_ended);
    BOOST_TEST(!newcomer.m_has_ended);
    BOOST_TEST(m_memory->counters().m_closed_connections == 1U);
}

// Guards against more connections than the limit when none can be closed.
BOOST_AUTO_TEST_CASE(a_new_connection_is_closed_where_all_others_have_a_request_in_progress)
{
    m_keeps_requests = true;
    for (std::size_t count = 0; count < max_connections; ++count) {
        send(head_of(0));
    }
    BOOST_TEST(run_until([&] { return m_requests.size() == max_connections; }));
    auto& newcomer = connect();
    BOOST_TEST(run_until([&] { return newcomer.m_has_ended; }));
    BOOST_TEST(m_server.connection_count() == max_connections);
}

// Guards against callers that stop half-way in a request and occupy all connections.
BOOST_AUTO_TEST_CASE(a_request_that_stopped_half_way_makes_room_for_a_new_connection)
{
    for (std::size_t count = 0; count < max_connections; ++count) {
        send("GET / HTTP/1.1\r\n");
    }
    run_for(stalled_body_time + 100ms);
    auto& newcomer = send(head_of(0));
    BOOST_TEST(run_until([&] { return newcomer.has_received("served"); }));
    BOOST_TEST(m_callers.front().m_has_ended);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(connection_choice)

// Guards against closing a connection that makes progress while another one can be closed.
BOOST_AUTO_TEST_CASE(the_connection_to_close_is_chosen_by_phase_and_then_by_idle_time)
{
    const instant now = instant{} + 100s;
    const std::vector<connection_activity> connections{
        {connection_phase::busy, now - 60s},      {connection_phase::unread, now - 60s},
        {connection_phase::receiving, now - 60s}, {connection_phase::idle, now - 2s},
        {connection_phase::idle, now - 3s},       {connection_phase::ending, now}};
    const auto chosen = [&](std::size_t count) {
        return choose_connection_to_close(std::span{connections}.first(count), now);
    };
    BOOST_TEST((chosen(6) == 5U));
    BOOST_TEST((chosen(5) == 4U));
    BOOST_TEST((chosen(3) == 2U));
    BOOST_TEST((chosen(2) == 1U));
    BOOST_TEST(!chosen(1).has_value());
    const std::vector<connection_activity> moving{{connection_phase::receiving, now - 999ms},
                                                  {connection_phase::unread, now - 4s}};
    BOOST_TEST(!choose_connection_to_close(moving, now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
