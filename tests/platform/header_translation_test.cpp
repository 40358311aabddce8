#include "platform/header_translation.h"

#include <boost/test/unit_test.hpp>

using namespace chivevane;
using namespace chivevane::platform;

namespace {

/// A request with internal header fields, as sent to an upstream, and the fields of the upstream's
/// answers.
struct heads_fixture {
    std::optional<response_head> read(std::uint16_t status, std::vector<http_field> fields) const
    {
        return read_upstream_answer(m_request, {status, std::move(fields)});
    }

    request_head m_request{"GET",
                           "/a",
                           {{"X-Caller-Request-Id", "c1"},
                            {"X-Request-Id", "host/1/2/3"},
                            {"X-Request-Timeout-Ms", "900"},
                            {"X-Organisation", "parish"},
                            {"X-Expected-Endpoint", "i-1"},
                            {"X-Caller-Service", "tides"}}};
    const http_field m_echo{"Chivevane-Attempt-Id", "c1"};
    const http_field m_signature{"Chivevane-Server-Signature", "s"};
};

std::string value(const std::vector<http_field>& fields, std::string_view name)
{
    return std::string{find_field(fields, name).value_or("(none)")};
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(heads, heads_fixture)

BOOST_AUTO_TEST_CASE(platform_fields_of_a_callers_request_become_internal_fields)
{
    const auto head = read_caller_request({"GET",
                                           "/a",
                                           {{"chivevane-attempt-id", "c1"},
                                            {"Chivevane-Deadline-Ms", "900"},
                                            {"X-Caller-Request-Id", "forged"},
                                            {"X-Request-Timeout-Ms", "1"}}});
    BOOST_TEST(value(head.m_fields, "X-Caller-Request-Id") == "c1");
    BOOST_TEST(value(head.m_fields, "X-Request-Timeout-Ms") == "900");
    BOOST_TEST(head.m_fields.size() == 2U);
}

BOOST_AUTO_TEST_CASE(internal_fields_become_platform_fields_for_an_upstream)
{
    const auto head = write_upstream_request(m_request);
    BOOST_TEST(value(head.m_fields, "Chivevane-Attempt-Id") == "c1");
    BOOST_TEST(value(head.m_fields, "Chivevane-Deadline-Ms") == "900");
    BOOST_TEST(value(head.m_fields, "Chivevane-Tenant-Id") == "parish");
    BOOST_TEST(value(head.m_fields, "Chivevane-Expect-Instance") == "i-1");
    BOOST_TEST(value(head.m_fields, "Chivevane-Caller-Service") == "tides");
    BOOST_TEST(value(head.m_fields, "X-Request-Id") == "(none)");
}

BOOST_AUTO_TEST_CASE(a_success_needs_the_echoed_id_a_signature_and_no_content_encoding)
{
    const auto good = read(200, {m_echo, m_signature});
    BOOST_TEST_REQUIRE(good.has_value());
    BOOST_TEST(value(good->m_fields, "X-Request-Id") == "host/1/2/3");
    BOOST_TEST(value(good->m_fields, "X-Upstream-Signature") == "s");
    BOOST_TEST(!read(200, {m_echo}).has_value());
    BOOST_TEST(!read(200, {m_signature}).has_value());
    BOOST_TEST(!read(200, {{"Chivevane-Attempt-Id", "c2"}, m_signature}).has_value());
    BOOST_TEST(!read(200, {m_echo, m_signature, {"Content-Encoding", "gzip"}}).has_value());
    BOOST_TEST(!read(404, {}).has_value());
}

BOOST_AUTO_TEST_CASE(only_the_not_executed_field_or_a_421_marks_an_attempt_as_not_run)
{
    const auto refused = read(503, {m_echo, {"Chivevane-Not-Executed", "1"}});
    BOOST_TEST(value(refused.value().m_fields, "X-Not-Run") == "1");
    BOOST_TEST(value(read(421, {}).value().m_fields, "X-Not-Run") == "1");
    BOOST_TEST(value(read(503, {m_echo}).value().m_fields, "X-Not-Run") == "(none)");
    BOOST_TEST(!read(200, {m_echo, m_signature, {"Chivevane-Not-Executed", "1"}}).has_value());
    // The failure of another request has no meaning for this one.
    BOOST_TEST(
        !read(503, {{"Chivevane-Attempt-Id", "c2"}, {"Chivevane-Not-Executed", "1"}}).has_value());
}

BOOST_AUTO_TEST_CASE(a_caller_gets_the_signature_and_no_false_not_executed_status)
{
    const auto good = write_caller_answer(m_request, {200, {{"X-Upstream-Signature", "s"}}});
    BOOST_TEST(value(good.m_fields, "Chivevane-Server-Signature") == "s");
    BOOST_TEST(value(good.m_fields, "Chivevane-Attempt-Id") == "c1");
    for (const std::uint16_t status : {408, 421, 429, 503}) {
        const auto executed =
            write_caller_answer(m_request, {status, {{"X-Upstream-Signature", "s"}}});
        BOOST_TEST(executed.m_status == 502);
        BOOST_TEST(value(executed.m_fields, "Chivevane-Server-Signature") == "(none)");
        const auto own = write_caller_answer(m_request, {status, {}});
        BOOST_TEST(own.m_status == status);
    }
}

/// Guards against passing a failure of an endpoint that has run the request on as the promise that
/// it has not: the caller would send it again, and it would run twice.
BOOST_AUTO_TEST_CASE(only_an_answer_that_says_not_executed_promises_the_caller_that_it_has_not_run)
{
    const std::vector<std::vector<http_field>> proofs{
        {}, {m_echo}, {m_signature}, {m_echo, m_signature}, {m_echo, {"X-Not-Run", "1"}}};
    for (const std::uint16_t status : {408, 429, 503}) {
        for (const auto& fields : proofs) {
            const auto head = read(status, fields);
            if (!head) {
                continue; // Such an answer is not relayed at all.
            }
            BOOST_TEST(value(head->m_fields, "X-Not-Run") == "(none)");
            const auto answer = write_caller_answer(m_request, *head);
            BOOST_TEST_CONTEXT("status " << status << " with " << fields.size() << " fields")
            {
                BOOST_TEST(answer.m_status == 502);
                BOOST_TEST(value(answer.m_fields, "Chivevane-Server-Signature") == "(none)");
            }
        }
        const auto refused = read(status, {m_echo, {"Chivevane-Not-Executed", "1"}});
        BOOST_TEST(refused.value().m_status == status);
    }
}

BOOST_AUTO_TEST_CASE(a_health_answer_gives_the_endpoint_and_its_remaining_warm_up_time)
{
    const auto head = read_health_answer(
        {200, {{"Chivevane-Instance-Id", "i-1"}, {"Chivevane-Cold-Ms", "1500"}}});
    BOOST_TEST(value(head.m_fields, "X-Endpoint") == "i-1");
    BOOST_TEST(value(head.m_fields, "X-Cold-Ms") == "1500");
}

BOOST_AUTO_TEST_CASE(the_accepted_rate_is_read_and_passed_on_as_the_upstream_wrote_it)
{
    const auto head = read(200, {m_echo, m_signature, {"Server-Limit", "2.5"}});
    BOOST_TEST_REQUIRE(head.has_value());
    BOOST_TEST(value(head->m_fields, "X-Accepted-Rate") == "2.5");
    const auto answer = write_caller_answer(m_request, *head);
    BOOST_TEST(value(answer.m_fields, "Server-Limit") == "2.5");
    BOOST_TEST(value(answer.m_fields, "X-Accepted-Rate") == "(none)");
    const auto forged = read(200, {m_echo, m_signature, {"X-Accepted-Rate", "1"}});
    BOOST_TEST(value(forged->m_fields, "X-Accepted-Rate") == "(none)");
}

BOOST_AUTO_TEST_CASE(an_upstream_that_says_that_it_is_leaving_is_read_and_passed_on)
{
    const auto head = read(200, {m_echo, m_signature, {"Server-Leaving", "1"}});
    BOOST_TEST_REQUIRE(head.has_value());
    BOOST_TEST(value(head->m_fields, "X-Leaving") == "1");
    const auto answer = write_caller_answer(m_request, *head);
    BOOST_TEST(value(answer.m_fields, "Server-Leaving") == "1");
    BOOST_TEST(value(answer.m_fields, "X-Leaving") == "(none)");
}

BOOST_AUTO_TEST_SUITE_END()
