#include "libhttp/loopback_fixture.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>
#include <string>

using namespace chivevane;
using namespace chivevane::test;

namespace {

request_head get(const std::string& target)
{
    return {"GET", target, {{"Host", "a"}}};
}

request_head post(const std::string& target)
{
    return {"POST", target, {{"Host", "a"}}};
}

/// Whether the system sends keep-alive probes on an open connection to the server, by the timer
/// that it lists for the connection.
bool has_keep_alive_timer()
{
    std::ifstream connections{"/proc/net/tcp"};
    for (std::string line; std::getline(connections, line);) {
        std::istringstream words{line};
        std::string slot;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        std::string timer;
        words >> slot >> local >> remote >> state >> queues >> timer;
        const bool is_to_server = remote == "0108007F:445C"; // 127.0.8.1:17500
        if (is_to_server && state == "01" && timer.starts_with("02:")) {
            return true;
        }
    }
    return false;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(http, loopback_fixture)

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
    BOOST_TEST(!find_field(seen.m_fields, "Expect").has_value());
}

BOOST_AUTO_TEST_CASE(a_body_is_streamed_with_a_length_and_in_chunks)
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
        BOOST_TEST(find_field(log.m_head->m_fields, "Content-Length").has_value() == is_sized);
    }
}

BOOST_AUTO_TEST_CASE(a_connection_that_falls_silent_is_noticed_while_an_answer_is_awaited)
{
    m_serve = [](const received_request&) {};
    transfer_log log;
    start(get("/"), {}, log);
    BOOST_TEST(run_until([this] { return m_requests.size() == 1; }));
    BOOST_TEST(has_keep_alive_timer());
}

BOOST_AUTO_TEST_CASE(a_truncated_answer_is_never_complete)
{
    for (const bool is_sized : {true, false}) {
        m_serve = [this, is_sized](const received_request& request) {
            response_head head{200, {}};
            if (is_sized) {
                head.m_fields.push_back({"Content-Length", "6"});
            }
            m_server.begin(request.m_exchange, head);
            m_server.write(request.m_exchange, "abc",
                           [this, request](bool) { m_server.abort(request.m_exchange); });
        };
        BOOST_TEST((exchange(get("/")).m_end == transfer_end::truncated));
    }
}

BOOST_AUTO_TEST_CASE(a_request_is_not_sent_again_on_another_connection)
{
    BOOST_TEST((exchange(get("/")).m_end == transfer_end::complete));
    m_serve = [this](const received_request& request) { m_server.abort(request.m_exchange); };
    // The second request reuses the first connection, which the server closes without an answer.
    BOOST_TEST((exchange(post("/")).m_end == transfer_end::connection_lost));
    BOOST_TEST(m_requests.size() == 2);
}

BOOST_AUTO_TEST_CASE(a_refused_connection_is_reported_as_a_failed_connect)
{
    m_server.close();
    BOOST_TEST((exchange(post("/")).m_end == transfer_end::connect_failed));
}

BOOST_AUTO_TEST_CASE(cancelling_a_request_is_reported_to_the_server)
{
    m_serve = [](const received_request&) {};
    transfer_log log;
    const auto id = start(get("/"), {}, log);
    run_until([this] { return m_requests.size() == 1; });
    m_client.cancel(id);
    BOOST_TEST(run_until([this] { return m_disconnected_exchanges.size() == 1; }));
    BOOST_TEST(!log.m_end.has_value());
}

BOOST_AUTO_TEST_CASE(a_body_that_stops_arriving_is_reported_as_stalled)
{
    m_serve = [this](const received_request& request) {
        m_server.begin(request.m_exchange, {200, {{"Content-Length", "6"}}});
        m_server.write(request.m_exchange, "abc", [](bool) {});
    };
    BOOST_TEST((exchange(get("/")).m_end == transfer_end::stalled));
}

BOOST_AUTO_TEST_CASE(an_oversized_body_is_refused)
{
    const auto log = exchange(post("/"), std::string(1500, 'x'));
    BOOST_TEST(log.m_head->m_status == 413);
    BOOST_TEST(m_requests.empty());
}

BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_in_order)
{
    m_serve = [this](const received_request& request) {
        // The handler answers the second request before the first.
        if (m_requests.size() == 2) {
            m_server.respond(m_requests[1].m_exchange, {200, {}}, "second");
            m_server.respond(m_requests[0].m_exchange, {200, {}}, "first!");
        }
        (void)request;
    };
    const std::string two = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n"
                            "Connection: close\r\n\r\n";
    const auto seen = send_raw(two, 4096);
    const auto first = seen.find("first!");
    BOOST_TEST_REQUIRE(first != std::string::npos);
    BOOST_TEST(seen.find("second", first) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ambiguous_framing_never_reaches_the_handler)
{
    const std::string post_line = "POST / HTTP/1.1\r\nHost: a\r\n";
    const std::vector<std::string> rests{
        "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Content-Length: +3\r\n\r\nabc",
        "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        std::string{"X: b"} + '\0' + "c\r\n\r\n",
    };
    for (const auto& rest : rests) {
        BOOST_TEST(send_raw(post_line + rest, 4096).empty());
    }
    BOOST_TEST(m_requests.empty());
}

BOOST_AUTO_TEST_CASE(repeated_fields_all_reach_the_handler)
{
    send_raw("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\nConnection: close\r\n\r\n", 4096);
    const auto& fields = m_requests.at(0).m_head.m_fields;
    const auto hosts = std::count_if(fields.begin(), fields.end(), [](const http_field& field) {
        return equal_ignoring_case(field.m_name, "Host");
    });
    BOOST_TEST(hosts == 2);
}

BOOST_AUTO_TEST_CASE(an_older_protocol_version_is_refused)
{
    BOOST_TEST(send_raw("GET / HTTP/1.0\r\nHost: a\r\n\r\n", 4096).starts_with("HTTP/1.1 505"));
    BOOST_TEST(m_requests.empty());
}

BOOST_AUTO_TEST_SUITE_END()
