#include "libdocument/parse_document.h"
#include "libhost/document_exchange.h"
#include "libhost/http_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace chivevane;
using namespace chivevane::test;

namespace {

struct exchange_fixture : http_fixture {
    exchange_fixture()
    {
        const stored_document stored{"tides", 7, "edit", "document: tides\n# a comment\n"};
        m_configuration.m_documents["tides"] = {
            stored, std::make_shared<const document>(value_of(parse_document(stored.m_text)))};
        m_on_remote_request = [this](const received_request& request) {
            if (is_document_request(request.m_head)) {
                answer_document_request(m_remote_server, request, m_configuration, "secret",
                                        m_cache);
            }
        };
    }

    document_fetched fetch(const std::string& name, const std::string& secret)
    {
        host_address from;
        from.m_ip = ip;
        from.m_gate_port = remote_port;
        std::optional<document_fetched> answer;
        request_document(m_client, {from, name}, secret,
                         [&answer](document_fetched fetched) { answer = std::move(fetched); });
        run_until([&answer] { return answer.has_value(); });
        return answer.value();
    }

    configuration_state m_configuration;
    document_answer_cache m_cache;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(document_exchange, exchange_fixture)

BOOST_AUTO_TEST_CASE(a_host_fetches_a_document_from_another_host)
{
    const auto answer = fetch("tides", "secret");
    BOOST_TEST_REQUIRE(answer.m_document.has_value());
    BOOST_TEST((*answer.m_document == m_configuration.m_documents["tides"].m_stored));
    BOOST_TEST_REQUIRE(answer.m_parsed_document != nullptr);
    BOOST_TEST((*answer.m_parsed_document == *m_configuration.m_documents["tides"].m_document));
}

BOOST_AUTO_TEST_CASE(a_newer_revision_replaces_the_cached_answer)
{
    BOOST_TEST(fetch("tides", "secret").m_document.value().m_revision == 7U);
    m_configuration.m_documents["tides"].m_stored.m_revision = 8;
    BOOST_TEST(fetch("tides", "secret").m_document.value().m_revision == 8U);
    BOOST_TEST(m_cache.m_entries.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_host_that_does_not_accept_compressed_documents_gets_the_record)
{
    m_on_remote_request = [&](received_request request) {
        std::erase_if(request.m_head.m_fields,
                      [](const http_field& field) { return field.m_name == "Accept"; });
        answer_document_request(m_remote_server, request, m_configuration, "secret", m_cache);
    };
    const auto answer = fetch("tides", "secret");
    BOOST_TEST((answer.m_document == m_configuration.m_documents["tides"].m_stored));
    BOOST_TEST(answer.m_parsed_document == nullptr);
}

BOOST_AUTO_TEST_CASE(an_unknown_document_or_a_wrong_request_signature_yields_no_document)
{
    BOOST_TEST(!fetch("permits", "secret").m_document.has_value());
    BOOST_TEST(!fetch("tides", "other secret").m_document.has_value());
}

BOOST_AUTO_TEST_CASE(an_answer_with_a_forged_signature_is_rejected)
{
    m_on_remote_request = [this](const received_request& request) {
        m_remote_server.respond(request.m_exchange, {200, {{"Chivevane-Signature", "forged"}}},
                                "chivevane-document-1\ntides\n9\nedit\ndocument: forged\n");
    };
    BOOST_TEST(!fetch("tides", "secret").m_document.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
