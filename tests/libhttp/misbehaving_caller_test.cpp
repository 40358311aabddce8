#include "libhttp/misbehaving_caller_fixture.h"

#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <thread>

using namespace chivevane;
using namespace chivevane::test;

namespace {

std::string whole_request(std::size_t length)
{
    return head_of(length) + std::string(length, 'x');
}

const std::string chunked_head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(std::size_t size)
{
    return fmt::format("{:x}\r\n{}\r\n", size, std::string(size, 'x'));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(misbehaving_callers, misbehaving_caller_fixture)

// Guards against announced bodies that together exceed the memory, and against a refusal that
// leaves open whether the request has run.
BOOST_AUTO_TEST_CASE(a_body_without_room_is_refused_before_it_is_read)
{
    send(head_of(600'000));
    BOOST_TEST(run_until_reserved(600'000));
    auto& newcomer = send(head_of(500'000));
    BOOST_TEST(run_until([&] { return newcomer.m_has_ended; }));
    BOOST_TEST(newcomer.m_received.starts_with("HTTP/1.1 503"));
    BOOST_TEST(newcomer.has_received("\r\nRetry-After: 1\r\n"));
    BOOST_TEST(newcomer.has_received("\r\nConnection: close\r\n"));
    BOOST_TEST(newcomer.has_received(R"("outcome":"not-run")"));
    BOOST_TEST(m_memory->counters().m_refused_bodies == 1U);
    BOOST_TEST(m_memory->reserved() == 600'000U);
    BOOST_TEST(m_request_count == 0U);
    m_callers.clear();
    BOOST_TEST(run_until_reserved(0));
}

// Guards against a process that serves nobody while stalled bodies hold its memory.
BOOST_AUTO_TEST_CASE(a_stalled_body_gives_way_to_a_request_that_needs_its_memory)
{
    auto& stalled = send(head_of(600'000) + std::string(1000, 'x'));
    BOOST_TEST(run_until_reserved(600'000));
    run_for(stalled_body_time + 100ms);
    auto& newcomer = send(whole_request(500'000));
    BOOST_TEST(run_until([&] { return newcomer.has_received("served") && stalled.m_has_ended; }));
    BOOST_TEST(stalled.m_received.starts_with("HTTP/1.1 408"));
    BOOST_TEST(stalled.has_received(R"("outcome":"not-run")"));
    BOOST_TEST(m_memory->counters().m_evicted_bodies == 1U);
    BOOST_TEST(m_request_count == 1U);
    BOOST_TEST(run_until_reserved(0));
}

// Guards against ending a body as stalled although its bytes wait for a loop that is late.
BOOST_AUTO_TEST_CASE(a_body_whose_bytes_wait_in_the_system_has_not_stalled)
{
    auto& caller = send(head_of(600'000));
    BOOST_TEST(run_until_reserved(600'000));
    asio::write(caller.m_socket, asio::buffer(std::string(1000, 'x')));
    std::this_thread::sleep_for(stalled_body_time + 100ms); // The loop does not run.
    memory_reservation newcomer{m_memory};
    BOOST_TEST(!newcomer.resize(600'000, current_time()));
    run_for(stalled_body_time + 100ms);
    BOOST_TEST(newcomer.resize(600'000, current_time()));
    BOOST_TEST(m_memory->counters().m_evicted_bodies == 1U);
}

// Guards against a chunked body that is not counted, or for which the largest size is reserved.
BOOST_AUTO_TEST_CASE(a_chunked_body_reserves_as_it_grows)
{
    auto& growing = send(chunked_head + chunk(1000));
    BOOST_TEST(run_until([&] { return m_memory->reserved() >= 1000; }));
    BOOST_TEST(m_memory->reserved() < 20'000U);
    growing.send(chunk(300'000));
    BOOST_TEST(run_until([&] { return m_memory->reserved() >= 301'000; }));
    BOOST_TEST(m_memory->reserved() < 600'000U);
    m_keeps_requests = true;
    growing.send(chunk(699'000) + "0\r\n\r\n"); // The largest body while nothing else holds memory.
    BOOST_TEST(run_until([&] { return !m_requests.empty(); }));
    BOOST_TEST(m_requests.at(0).m_body->size() == capacity);
    auto& second = send(chunked_head + chunk(100'000));
    BOOST_TEST(run_until([&] { return second.m_has_ended; }));
    BOOST_TEST(second.m_received.starts_with("HTTP/1.1 503"));
    m_requests.clear();
    m_callers.clear();
    BOOST_TEST(run_until_reserved(0));
}

// Guards against a body that is no longer counted while a transfer still sends it.
BOOST_AUTO_TEST_CASE(a_body_is_reserved_until_its_last_owner_releases_it)
{
    m_keeps_requests = true;
    auto& caller = send(whole_request(capacity));
    BOOST_TEST(run_until([&] { return !m_requests.empty(); }));
    auto body = m_requests.at(0).m_body;
    m_server.respond(m_requests.at(0).m_exchange, {200, {}}, "served");
    BOOST_TEST(run_until([&] { return caller.has_received("served"); }));
    m_requests.clear();
    BOOST_TEST(m_memory->reserved() == capacity);
    body.reset();
    BOOST_TEST(m_memory->reserved() == 0U);
}

// Guards against a complete body that is ended as stalled although its request waits to run.
BOOST_AUTO_TEST_CASE(a_complete_body_is_never_evicted)
{
    m_keeps_requests = true;
    auto& caller = send(whole_request(capacity));
    BOOST_TEST(run_until([&] { return !m_requests.empty(); }));
    run_for(stalled_body_time + 100ms);
    auto& newcomer = send(head_of(100'000));
    BOOST_TEST(run_until([&] { return newcomer.m_has_ended; }));
    BOOST_TEST(newcomer.m_received.starts_with("HTTP/1.1 503"));
    m_server.respond(m_requests.at(0).m_exchange, {200, {}}, "served");
    BOOST_TEST(run_until([&] { return caller.has_received("served"); }));
    BOOST_TEST(m_memory->counters().m_evicted_bodies == 0U);
    BOOST_TEST(!caller.has_received("408"));
}

// Guards against reservations that outlive a request that ends in any other way, which would end in
// a process that refuses everything.
BOOST_AUTO_TEST_CASE(nothing_stays_reserved_after_any_end_of_a_request)
{
    const std::string partial = head_of(200'000) + "x";
    send(partial);
    BOOST_TEST(run_until_reserved(200'000));
    m_callers.clear(); // The caller closes the connection.
    BOOST_TEST(run_until_reserved(0));

    auto& slow = send(partial);
    BOOST_TEST(run_until_reserved(200'000));
    BOOST_TEST(run_until([&] { return slow.m_has_ended; })); // The idle timeout ends the request.
    BOOST_TEST(slow.m_received.starts_with("HTTP/1.1 408"));
    BOOST_TEST(m_memory->reserved() == 0U);

    auto& malformed = send(chunked_head + chunk(100'000) + "no chunk\r\n");
    BOOST_TEST(run_until([&] { return malformed.m_has_ended; }));
    BOOST_TEST(malformed.m_received.starts_with("HTTP/1.1 400"));
    BOOST_TEST(m_memory->reserved() == 0U);

    auto& large = send(chunked_head + chunk(capacity) + chunk(1));
    BOOST_TEST(run_until([&] { return large.m_has_ended; }));
    BOOST_TEST(large.m_received.starts_with("HTTP/1.1 413"));
    BOOST_TEST(m_memory->reserved() == 0U);

    auto& served = send(whole_request(200'000));
    BOOST_TEST(run_until([&] { return served.has_received("served"); }));
    BOOST_TEST(m_memory->reserved() == 0U);

    send(partial);
    BOOST_TEST(run_until_reserved(200'000));
    m_server.close();
    BOOST_TEST(run_until_reserved(0));
}

// Guards against heads of very many short fields, whose parsed form is far larger than their bytes.
BOOST_AUTO_TEST_CASE(a_head_of_very_many_fields_is_counted)
{
    m_keeps_requests = true;
    std::string head = "GET / HTTP/1.1\r\nHost: a\r\n";
    for (int count = 0; count < 3000; ++count) {
        head += "a:\r\n";
    }
    send(head + "\r\n");
    BOOST_TEST(run_until([&] { return !m_requests.empty(); }));
    BOOST_TEST(m_memory->reserved() >= 3000 * sizeof(http_field));
    m_requests.clear();
    BOOST_TEST(run_until_reserved(0));
}

// Guards against pipelined input that grows without memory.
BOOST_AUTO_TEST_CASE(reading_pauses_without_memory)
{
    m_keeps_requests = true;
    auto& caller = send(head_of(0));
    BOOST_TEST(run_until([&] { return !m_requests.empty(); }));
    reserve_everything();
    const auto reserved = m_memory->reserved();
    caller.send(std::string(16 * 1024 * 1024, 'x'));
    run_for(300ms);
    BOOST_TEST(m_memory->reserved() == reserved);
    BOOST_TEST(!caller.m_output.empty()); // The server does not read on.
    BOOST_TEST(m_disconnected.empty());
}

// Guards against a caller whose close goes unnoticed while its input is not read, so that its
// request occupies an upstream for nothing.
BOOST_AUTO_TEST_CASE(the_callers_close_is_noticed_while_reading_pauses)
{
    m_keeps_requests = true;
    auto& caller = send(head_of(0));
    BOOST_TEST(run_until([&] { return !m_requests.empty(); }));
    reserve_everything();
    // A second POST waits for the answer of the first one. Its bytes fit into the receive buffer.
    caller.send(head_of(0) + std::string(40'000, 'x'));
    run_for(200ms);
    BOOST_TEST(caller.m_output.empty());
    BOOST_TEST(m_disconnected.empty());
    caller.m_socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    run_for(1s);
    BOOST_TEST(m_disconnected.size() == 1U);
}

// Guards against a pause that does not end, so that a caller is never served.
BOOST_AUTO_TEST_CASE(reading_goes_on_once_there_is_memory)
{
    m_keeps_requests = true;
    auto& caller = send(head_of(0));
    BOOST_TEST(run_until([&] { return !m_requests.empty(); }));
    reserve_everything();
    std::string pipelined;
    while (pipelined.size() < 100'000) {
        pipelined +=
            fmt::format("GET / HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n", std::string(900, 'x'));
    }
    caller.send(pipelined);
    run_for(200ms);
    m_fillers.clear();
    BOOST_TEST(run_until([&] { return caller.m_output.empty() && m_memory->reserved() > 0; }));
    m_keeps_requests = false;
    for (const auto& request : std::exchange(m_requests, {})) {
        m_server.respond(request.m_exchange, {200, {}}, "served");
    }
    BOOST_TEST(run_until([&] { return m_request_count > 100; }));
    BOOST_TEST(run_until_reserved(0));
}

// Guards against trailers without an end, which held all connections of callers for as long as the
// idle timeout.
BOOST_AUTO_TEST_CASE(trailers_beyond_the_limit_of_a_head_are_refused)
{
    auto& caller = send(chunked_head + chunk(10) + "0\r\n");
    for (int part = 0; part < 20 && !caller.m_has_ended; ++part) {
        std::string fields;
        while (fields.size() < 4096) {
            fields += "a:b\r\n";
        }
        asio::error_code ignored; // The server may have closed the connection already.
        asio::write(caller.m_socket, asio::buffer(fields), ignored);
        run_for(10ms);
    }
    BOOST_TEST(run_until([&] { return caller.m_has_ended; }));
    BOOST_TEST(caller.m_received.starts_with("HTTP/1.1 431"));
    BOOST_TEST(m_request_count == 0U);
    BOOST_TEST(run_until_reserved(0));
}

BOOST_AUTO_TEST_SUITE_END()
