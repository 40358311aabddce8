#include "libhost/document_exchange.h"
#include "libhost/shell_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace chivevane;
using namespace chivevane::test;

namespace {

struct exchange_fixture : shell_fixture {
    exchange_fixture()
    {
        const stored_document stored{"tides", 7, "edit", "document: tides\n# a comment\n"};
        m_configuration.m_documents["tides"].m_stored = stored;
        m_serve_back = [this](const received_request& request) {
            if (is_document_request(request.m_head)) {
                answer_document_request(m_back, request, m_configuration, "secret");
            }
        };
    }

    document_fetched fetch(const std::string& name, const std::string& secret)
    {
        host_address from;
        from.m_ip = ip;
        from.m_gate_port = back_port;
        std::optional<document_fetched> answer;
        request_document(m_client, {from, name}, secret,
                         [&answer](document_fetched news) { answer = std::move(news); });
        run_until([&answer] { return answer.has_value(); });
        return answer.value();
    }

    configuration_state m_configuration;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(document_exchange, exchange_fixture)

BOOST_AUTO_TEST_CASE(a_host_gets_the_copy_of_another)
{
    const auto answer = fetch("tides", "secret");
    BOOST_TEST_REQUIRE(answer.m_document.has_value());
    BOOST_TEST((*answer.m_document == m_configuration.m_documents["tides"].m_stored));
}

BOOST_AUTO_TEST_CASE(an_unknown_document_and_a_stranger_get_nothing)
{
    BOOST_TEST(!fetch("permits", "secret").m_document.has_value());
    BOOST_TEST(!fetch("tides", "other secret").m_document.has_value());
}

BOOST_AUTO_TEST_CASE(an_answer_of_a_stranger_is_not_taken)
{
    m_serve_back = [this](const received_request& request) {
        m_back.respond(request.m_exchange, {200, {{"Chivevane-Signature", "forged"}}},
                       "chivevane-document-1\ntides\n9\nedit\ndocument: forged\n");
    };
    BOOST_TEST(!fetch("tides", "secret").m_document.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
