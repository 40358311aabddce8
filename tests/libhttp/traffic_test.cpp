#include "libhttp/traffic_fixture.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace chivevane;
using namespace chivevane::test;

namespace {

using raw_end = traffic_fixture::raw_end;

request_head get(const std::string& target)
{
    return {"GET", target, {{"Host", "a"}}};
}

request_head post(const std::string& target)
{
    return {"POST", target, {{"Host", "a"}}};
}

std::string status_line_of(const std::string& answer)
{
    return answer.substr(0, answer.find("\r\n"));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(traffic, traffic_fixture)

BOOST_AUTO_TEST_CASE(a_request_arrives_as_it_was_sent)
{
    const request_head head{"PUT", "/a/../b?c=%20d", {{"Host", "a.example"}, {"X-Empty", ""}}};
    const auto log = exchange(head, "body");
    BOOST_TEST(log.m_head->m_status == 200);
    BOOST_TEST(log.m_body == "body");
    const auto& seen = m_requests.at(0).m_head;
    BOOST_TEST(seen.m_method == "PUT");
    BOOST_TEST(seen.m_target == "/a/../b?c=%20d");
    BOOST_TEST(find_field(seen.m_fields, "X-Empty").has_value());
    BOOST_TEST(!find_field(seen.m_fields, "User-Agent").has_value());
}

BOOST_AUTO_TEST_CASE(bodies_are_carried_both_ways_with_a_length_and_in_chunks)
{
    for (const bool is_sized : {true, false}) {
        m_serve = [this, is_sized](const received_request& request) {
            response_head head{200, {}};
            if (is_sized) {
                head.m_fields.push_back({"Content-Length", "6"});
            }
            m_server.begin(request.m_exchange, head);
            m_server.write(request.m_exchange, "abc", [this, request](bool) {
                m_server.write(request.m_exchange, "def", [](bool) {});
                m_server.finish(request.m_exchange);
            });
        };
        const auto log = exchange(get("/"));
        BOOST_TEST(log.m_body == "abcdef");
        BOOST_TEST((log.m_end == transfer_end::complete));
    }
    const auto chunked = send_raw("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
                                  "Connection: close\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    BOOST_TEST(*m_requests.back().m_body == "abc");
}

BOOST_AUTO_TEST_CASE(ambiguous_requests_are_refused_with_400_and_never_dispatched)
{
    const std::string line = "POST / HTTP/1.1\r\nHost: a\r\n";
    const std::vector<std::string> rests{
        "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Content-Length: +3\r\n\r\nabc",
        "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
        "X-Folded: a\r\n b\r\nContent-Length: 0\r\n\r\n",
        "X-Bare: a\nContent-Length: 0\r\n\r\n",
        "X-Space : a\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n1;a\nb\r\nx\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n1\nx\r\n0\r\n\r\n",
        std::string{"X: b"} + '\0' + "c\r\n\r\n",
    };
    for (const auto& rest : rests) {
        BOOST_TEST(status_line_of(send_raw(line + rest)) == "HTTP/1.1 400 Bad Request");
    }
    BOOST_TEST(m_requests.empty());
}

BOOST_AUTO_TEST_CASE(oversized_and_slow_requests_are_refused_with_their_own_status)
{
    const std::string line = "POST / HTTP/1.1\r\nHost: a\r\n";
    BOOST_TEST(status_line_of(send_raw(line + "X: " + std::string(3000, 'x'))).find("431") !=
               std::string::npos);
    BOOST_TEST(status_line_of(send_raw(line + "Content-Length: 1001\r\n\r\n")).find("413") !=
               std::string::npos);
    BOOST_TEST(status_line_of(send_raw(line)).find("408") != std::string::npos);
    BOOST_TEST(status_line_of(send_raw(line + "Content-Length: 3\r\n\r\na")).find("408") !=
               std::string::npos);
    BOOST_TEST(m_requests.empty());
}

BOOST_AUTO_TEST_CASE(safe_requests_are_dispatched_at_once_and_answered_in_order)
{
    m_serve = [this](const received_request&) {
        if (m_requests.size() == 2) {
            m_server.respond(m_requests[1].m_exchange, {200, {}}, "second");
            m_server.respond(m_requests[0].m_exchange, {200, {}}, "first!");
        }
    };
    const auto seen = send_raw("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n"
                               "Connection: close\r\n\r\n");
    const auto first = seen.find("first!");
    BOOST_TEST_REQUIRE(first != std::string::npos);
    BOOST_TEST(seen.find("second", first) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_unsafe_request_waits_for_the_answers_before_it)
{
    std::size_t dispatched_count = 0;
    m_serve = [this, &dispatched_count](const received_request& request) {
        dispatched_count = m_requests.size();
        if (request.m_head.m_target == "/1") {
            asio::post(m_loop, [this, request, &dispatched_count] {
                BOOST_TEST(dispatched_count == 1U);
                m_server.respond(request.m_exchange, {200, {}}, "first");
            });
            return;
        }
        m_server.respond(request.m_exchange, {200, {}}, "second");
    };
    send_raw("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nPOST /2 HTTP/1.1\r\nHost: a\r\n"
             "Content-Length: 0\r\nConnection: close\r\n\r\n");
    BOOST_TEST(m_requests.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_caller_that_disconnects_is_noticed_while_its_request_runs)
{
    m_serve = [](const received_request&) {};
    transfer_log log;
    const auto id = start(get("/"), {}, log);
    run_until([this] { return m_requests.size() == 1; });
    m_client.cancel(id);
    BOOST_TEST(run_until([this] { return m_disconnected_exchanges.size() == 1; }));
    BOOST_TEST(!log.m_end.has_value());
}

BOOST_AUTO_TEST_CASE(an_announced_close_ends_connections_after_their_answers)
{
    m_server.announce_connection_close();
    const auto log = exchange(get("/"));
    BOOST_TEST(find_field(log.m_head->m_fields, "Connection").value_or("") == "close");
    BOOST_TEST(run_until([this] { return m_server.connection_count() == 0; }));
}

BOOST_AUTO_TEST_CASE(idle_connections_can_be_closed_and_busy_ones_stay)
{
    exchange(get("/"));
    m_serve = [](const received_request&) {};
    transfer_log log;
    start(get("/busy"), {}, log, port, connection_reuse::forbidden);
    run_until([this] { return m_requests.size() == 2; });
    BOOST_TEST(m_server.connection_count() == 2U);
    m_server.close_idle_connections();
    BOOST_TEST(run_until([this] { return m_server.connection_count() == 1; }));
    m_server.respond(m_requests[1].m_exchange, {200, {}}, "late");
    BOOST_TEST(run_until([&log] { return log.m_end.has_value(); }));
    BOOST_TEST(log.m_body == "late");
}

BOOST_AUTO_TEST_CASE(a_connection_is_reused_only_when_nothing_follows_a_complete_answer)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    serve_raw(answer, raw_end::keep);
    BOOST_TEST((exchange(get("/"), {}, raw_port).m_end == transfer_end::complete));
    BOOST_TEST(m_client.counters().m_connections_opened == 1U);
    serve_raw(answer + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore", raw_end::keep);
    transfer_log second;
    start(get("/"), {}, second, raw_port, connection_reuse::forbidden);
    run_until([&second] { return second.m_end.has_value(); });
    BOOST_TEST(second.m_body == "ok");
    m_raw_sockets.at(0)->close();
    m_loop.run_for(std::chrono::milliseconds{50});
    // Neither connection can be reused: the peer closed the first, and bytes followed the answer on
    // the second.
    serve_raw(answer, raw_end::keep);
    BOOST_TEST((exchange(get("/"), {}, raw_port).m_end == transfer_end::complete));
    BOOST_TEST(m_client.counters().m_connections_opened == 3U);
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_length_is_complete_only_after_an_orderly_close)
{
    const std::string answer = "HTTP/1.1 200 OK\r\n\r\nsome bytes";
    serve_raw(answer, raw_end::close);
    BOOST_TEST((exchange(get("/"), {}, raw_port).m_end == transfer_end::complete));
    serve_raw(answer, raw_end::reset);
    BOOST_TEST((exchange(get("/"), {}, raw_port).m_end != transfer_end::complete));
}

BOOST_AUTO_TEST_CASE(a_truncated_answer_is_never_complete)
{
    serve_raw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", raw_end::close);
    BOOST_TEST((exchange(get("/"), {}, raw_port).m_end == transfer_end::truncated));
    serve_raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", raw_end::close);
    BOOST_TEST((exchange(get("/"), {}, raw_port).m_end == transfer_end::truncated));
    serve_raw("no answer at all", raw_end::close);
    BOOST_TEST((exchange(get("/"), {}, raw_port).m_end == transfer_end::connection_lost));
    serve_raw("", raw_end::reset);
    BOOST_TEST((exchange(post("/"), "x", raw_port).m_end == transfer_end::connection_lost));
}

BOOST_AUTO_TEST_CASE(a_refused_connection_and_a_stalled_body_are_reported_differently)
{
    m_raw_acceptor.close();
    BOOST_TEST((exchange(post("/"), {}, raw_port).m_end == transfer_end::connect_failed));
    m_serve = [this](const received_request& request) {
        m_server.begin(request.m_exchange, {200, {{"Content-Length", "6"}}});
        m_server.write(request.m_exchange, "abc", [](bool) {});
    };
    BOOST_TEST((exchange(get("/")).m_end == transfer_end::stalled));
}

BOOST_AUTO_TEST_CASE(interim_answers_are_skipped)
{
    serve_raw("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n"
              "Content-Length: 2\r\n\r\nok",
              raw_end::keep);
    const auto log = exchange(get("/"), {}, raw_port);
    BOOST_TEST(log.m_head->m_status == 200);
    BOOST_TEST(log.m_body == "ok");
}

BOOST_AUTO_TEST_CASE(bytes_without_end_in_a_head_or_in_the_framing_of_a_body_end_the_transfer)
{
    const std::string endless(1024 * 1024, '1');
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::string> heads{endless, "HTTP/1.1 200 " + endless,
                                         "HTTP/1.1 200 OK\r\nX-A: " + endless,
                                         "HTTP/1.1 200 OK\r\n" + endless};
    const std::vector<std::string> bodies{chunked + endless, chunked + "1;" + endless,
                                          chunked + "1\r\na\r\n0\r\nX-A: " + endless};
    for (const auto& bytes : heads) {
        serve_raw(bytes, raw_end::keep);
        BOOST_TEST((exchange(get("/"), {}, raw_port).m_end == transfer_end::connection_lost));
    }
    for (const auto& bytes : bodies) {
        serve_raw(bytes, raw_end::keep);
        const auto log = exchange(get("/"), {}, raw_port);
        BOOST_TEST(
            (log.m_end == transfer_end::truncated || log.m_end == transfer_end::connection_lost));
    }
}

BOOST_AUTO_TEST_SUITE_END()
