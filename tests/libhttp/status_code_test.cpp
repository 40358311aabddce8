#include "libhttp/traffic_fixture.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <string>

using namespace chivevane;
using namespace chivevane::test;

namespace {

struct status_code_fixture : traffic_fixture {
    /// Sends a request with each method by each client, and passes what was received to `check`.
    template <typename Check>
    void exchange_with_each_client(const std::string& bytes, const Check& check)
    {
        serve_raw(bytes, raw_end::keep);
        for (request_sender* const sender :
             std::array<request_sender*, 2>{&m_client, &m_curl_client}) {
            m_sender = sender;
            for (const auto* const method : {"GET", "POST"}) {
                const request_head head{method, "/", {{"Host", "a"}}};
                check(exchange(head, {}, raw_port, connection_reuse::forbidden));
            }
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(status_codes, status_code_fixture)

/// Guards against answers with invalid status codes that reach callers or leave them waiting.
BOOST_AUTO_TEST_CASE(an_answer_with_an_invalid_status_ends_its_transfer_as_lost)
{
    for (const std::string status : {"000", "099", "101", "150", "199", "600", "999"}) {
        const auto bytes = "HTTP/1.1 " + status + " -\r\nContent-Length: 2\r\n\r\nok";
        exchange_with_each_client(bytes, [&status](const transfer_log& log) {
            BOOST_TEST(!log.m_head.has_value(), status);
            BOOST_TEST((log.m_end == transfer_end::connection_lost), status);
        });
    }
}

BOOST_AUTO_TEST_CASE(the_final_answer_after_registered_interim_answers_is_reported)
{
    for (const std::string status : {"100", "102", "103"}) {
        const auto bytes = "HTTP/1.1 " + status + " -\r\nLink: a\r\n\r\n" +
                           "HTTP/1.1 599 -\r\nContent-Length: 2\r\n\r\nok";
        exchange_with_each_client(bytes, [&status](const transfer_log& log) {
            BOOST_TEST_REQUIRE(log.m_head.has_value(), status);
            BOOST_TEST(log.m_head->m_status == 599);
            BOOST_TEST(!find_field(log.m_head->m_fields, "Link").has_value());
            BOOST_TEST((log.m_end == transfer_end::complete), status);
        });
    }
}

BOOST_AUTO_TEST_SUITE_END()
