#include "libbase/clock.h"
#include "libhttp/connection_limit.h"
#include "libhttp/traffic_server.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <fmt/format.h>
#include <list>

using namespace chivevane;

namespace {

constexpr const char* ip = "127.0.8.2";
constexpr std::uint16_t port = 17512;
constexpr std::size_t capacity = 1'000'000;
constexpr std::size_t max_connections = 4;

/// A caller that writes raw bytes to its own connection and collects what it receives.
struct raw_caller {
    explicit raw_caller(asio::io_context& loop) : m_socket(loop)
    {
        m_socket.connect({asio::ip::make_address(ip), port});
        read();
    }

    /// Queues bytes. They are written as far as the server reads them.
    void send(std::string bytes)
    {
        m_output.push_back(std::move(bytes));
        if (m_output.size() == 1) {
            write();
        }
    }

    void write()
    {
        asio::async_write(m_socket, asio::buffer(m_output.front()),
                          [this](const asio::error_code& problem, std::size_t) {
                              if (problem == asio::error::operation_aborted) {
                                  return;
                              }
                              m_output.pop_front();
                              if (!problem && !m_output.empty()) {
                                  write();
                              }
                          });
    }

    void read()
    {
        m_socket.async_read_some(asio::buffer(m_buffer),
                                 [this](const asio::error_code& problem, std::size_t size) {
                                     if (problem == asio::error::operation_aborted) {
                                         return;
                                     }
                                     m_received.append(m_buffer.data(), size);
                                     m_has_ended = bool{problem};
                                     if (!problem) {
                                         read();
                                     }
                                 });
    }

    bool has_received(std::string_view text) const
    {
        return m_received.find(text) != std::string::npos;
    }

    asio::ip::tcp::socket m_socket;
    std::deque<std::string> m_output;
    std::array<char, 4096> m_buffer{};
    std::string m_received;
    bool m_has_ended = false;
};

traffic_server_options options(std::shared_ptr<memory_budget> memory)
{
    traffic_server_options chosen;
    chosen.m_ip = ip;
    chosen.m_port = port;
    chosen.m_limits = {16'384, capacity};
    chosen.m_head_timeout = 3s;
    chosen.m_idle_timeout = 3s;
    chosen.m_max_connections = max_connections;
    chosen.m_memory = std::move(memory);
    return chosen;
}

std::string head_of(std::size_t length)
{
    return fmt::format("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n", length);
}

std::string whole_request(std::size_t length)
{
    return head_of(length) + std::string(length, 'x');
}

const std::string chunked_head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(std::size_t size)
{
    return fmt::format("{:x}\r\n{}\r\n", size, std::string(size, 'x'));
}

/// A server with a memory budget and a connection limit. It answers each request with 200, unless a
/// test keeps the requests.
struct misbehaving_caller_fixture {
    misbehaving_caller_fixture() { m_server.open(); }

    ~misbehaving_caller_fixture()
    {
        m_server.close();
        m_callers.clear();
        m_loop.restart();
        m_loop.poll();
    }

    void on_request(received_request request)
    {
        ++m_request_count;
        if (m_keeps_requests) {
            m_requests.push_back(std::move(request));
        }
        else {
            m_server.respond(request.m_exchange, {200, {}}, "served");
        }
    }

    bool run_until(const std::function<bool()>& condition)
    {
        constexpr auto timeout = 30s; // Only a faulty program takes this long.
        const auto deadline = current_time() + timeout;
        while (!condition() && current_time() < deadline) {
            m_loop.run_one_for(std::chrono::milliseconds{50});
        }
        return condition();
    }

    void run_for(duration length)
    {
        const auto end = current_time() + length;
        while (current_time() < end) {
            m_loop.run_one_for(std::chrono::milliseconds{10});
        }
    }

    raw_caller& connect()
    {
        auto& caller = m_callers.emplace_back(m_loop);
        run_for(5ms);
        return caller;
    }

    raw_caller& send(std::string bytes)
    {
        auto& caller = connect();
        caller.send(std::move(bytes));
        return caller;
    }

    bool run_until_reserved(std::size_t bytes)
    {
        return run_until([&] { return m_memory->reserved() == bytes; });
    }

    /// Reserves the capacity and the small-holder reserve, so that nothing is left.
    void reserve_everything()
    {
        m_fillers.emplace_back(m_memory);
        BOOST_TEST(m_fillers.back().resize(capacity - m_memory->reserved(), current_time()));
        do {
            m_fillers.emplace_back(m_memory);
        } while (m_fillers.back().resize(max_small_holder, current_time()));
        const auto rest = capacity + small_holder_reserve - m_memory->reserved();
        BOOST_TEST(m_fillers.back().resize(rest, current_time()));
    }

    asio::io_context m_loop{1};
    std::shared_ptr<memory_budget> m_memory = std::make_shared<memory_budget>(capacity);
    std::uint64_t m_last_exchange = 0;
    std::size_t m_request_count = 0;
    bool m_keeps_requests = false;
    std::vector<received_request> m_requests;
    std::vector<std::uint64_t> m_disconnected;
    std::vector<memory_reservation> m_fillers;
    traffic_server m_server{
        m_loop,
        options(m_memory),
        {[this](received_request request) { on_request(std::move(request)); },
         [this](std::uint64_t exchange) { m_disconnected.push_back(exchange); }},
        m_last_exchange};
    std::list<raw_caller> m_callers;
};

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

// Guards against pipelined input that grows without memory, and against a caller whose close goes
// unnoticed while its input is not read.
BOOST_AUTO_TEST_CASE(reading_pauses_without_memory_and_the_callers_close_is_noticed)
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
    asio::error_code ignored;
    caller.m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    caller.m_socket.close();
    BOOST_TEST(run_until([&] { return !m_disconnected.empty(); }));
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

BOOST_AUTO_TEST_SUITE(connection_limits)

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
