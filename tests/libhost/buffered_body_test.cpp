#include "libhost/http_fixture.h"
#include "libhost/transfer_runner.h"

#include <asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>

using namespace chivevane;
using namespace chivevane::test;

namespace {

/// A sender that sends nothing. The test calls the handlers of the last transfer itself.
struct scripted_sender : request_sender {
    void start(std::uint64_t, outgoing_request request, transfer_handlers handlers) override
    {
        m_sent.push_back(std::move(request));
        m_handlers = std::move(handlers);
    }
    void cancel(std::uint64_t) override {}
    void resume(std::uint64_t) override { ++m_resumes; }

    std::vector<outgoing_request> m_sent;
    transfer_handlers m_handlers;
    int m_resumes = 0;
};

/// An answer writer that records the status and the body written for an exchange.
struct collecting_writer : answer_writer {
    void respond(std::uint64_t, const response_head&, std::string) override {}
    void begin(std::uint64_t, const response_head& head) override { m_status = head.m_status; }
    void write(std::uint64_t, std::string part, std::function<void(bool)> on_written) override
    {
        m_body += part;
        on_written(true);
    }
    void finish(std::uint64_t) override {}
    void abort(std::uint64_t) override {}
    bool close_if_left(std::uint64_t) override { return m_has_caller_left; }

    bool m_has_caller_left = false;
    std::uint16_t m_status = 0;
    std::string m_body;
};

struct buffered_body_fixture {
    buffered_body_fixture()
    {
        m_exchanges[1] = {&m_writer, std::make_shared<const std::string>("body")};
    }

    void start(std::size_t body_buffer_limit)
    {
        start_transfer command{7, 1, "127.0.0.1", 9000, {"GET", "/", {}}};
        command.m_body_buffer_limit = body_buffer_limit;
        m_runner.start(command);
    }

    scripted_sender m_sender;
    collecting_writer m_writer;
    exchange_table m_exchanges;
    std::deque<transfer_update> m_updates;
    transfer_runner m_runner{m_sender, m_exchanges, [this](transfer_update update) {
                                 m_updates.push_back(std::move(update));
                             }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(buffered_bodies, buffered_body_fixture)

BOOST_AUTO_TEST_CASE(an_answer_truncated_while_buffered_reports_no_head)
{
    start(100);
    m_sender.m_handlers.m_on_head({200, {}});
    m_sender.m_handlers.m_on_body("abc");
    BOOST_TEST(m_updates.empty());
    m_sender.m_handlers.m_on_end(transfer_end::truncated, "");
    BOOST_TEST_REQUIRE(m_updates.size() == 1U);
    BOOST_TEST((std::get<transfer_ended>(m_updates[0]).m_end == transfer_end::truncated));
}

BOOST_AUTO_TEST_CASE(a_complete_buffered_answer_is_reported_and_relayed)
{
    start(100);
    m_sender.m_handlers.m_on_head({200, {}});
    m_sender.m_handlers.m_on_body("abc");
    m_sender.m_handlers.m_on_body("def");
    m_sender.m_handlers.m_on_end(transfer_end::complete, "");
    BOOST_TEST_REQUIRE(m_updates.size() == 2U);
    m_runner.relay({7, 1, std::get<transfer_head>(m_updates[0]).m_head});
    BOOST_TEST(m_writer.m_body == "abcdef");
    BOOST_TEST(std::get<transfer_ended>(m_updates[1]).m_body_bytes == 6U);
}

BOOST_AUTO_TEST_CASE(an_answer_longer_than_the_buffer_limit_is_streamed)
{
    start(4);
    m_sender.m_handlers.m_on_head({200, {}});
    m_sender.m_handlers.m_on_body("abc");
    BOOST_TEST(m_updates.empty());
    m_sender.m_handlers.m_on_body("def");
    BOOST_TEST_REQUIRE(m_updates.size() == 1U);
    BOOST_TEST((m_sender.m_handlers.m_on_body("ghi") == body_flow::pause));
    m_runner.relay({7, 1, response_head{200, {}}});
    BOOST_TEST(m_writer.m_body == "abcdef");
    BOOST_TEST(m_sender.m_resumes == 1);
    BOOST_TEST((m_sender.m_handlers.m_on_body("ghi") == body_flow::ready));
    BOOST_TEST(m_writer.m_body == "abcdefghi");
}

BOOST_AUTO_TEST_CASE(a_request_whose_caller_disconnected_is_not_sent_without_its_body)
{
    m_exchanges.clear();
    start(0);
    BOOST_TEST(m_sender.m_sent.empty());
    BOOST_TEST_REQUIRE(m_updates.size() == 1U);
    BOOST_TEST((std::get<transfer_ended>(m_updates[0]).m_end == transfer_end::connect_failed));
}

BOOST_AUTO_TEST_CASE(a_request_whose_caller_has_left_unnoticed_is_reported_and_not_sent)
{
    m_writer.m_has_caller_left = true;
    start(0);
    BOOST_TEST(m_sender.m_sent.empty());
    BOOST_TEST_REQUIRE(m_updates.size() == 1U);
    BOOST_TEST((std::get<transfer_ended>(m_updates[0]).m_end == transfer_end::caller_left));
}

BOOST_AUTO_TEST_SUITE_END()
