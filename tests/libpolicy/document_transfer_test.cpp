#include "libdocument/parse_document.h"
#include "libpolicy/configuration/document_record.h"
#include "libpolicy/configuration/document_transfer.h"

#include <boost/test/unit_test.hpp>

using namespace chivevane;

namespace {

/// A document that uses all fields.
const std::string text = R"(document: tides
organisations:
  - name: parish
    rate: 30.5
    burst: 60
    priority: 3
    keys:
      - {name: key-1, digest: 2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683}
  - name: free
    unlimited: true
services:
  - name: tides
    floor: 0.7
    cold_rate: 7.2
    health_path: /healthz
  - name: notes
routes:
  - name: read
    host: tides.example
    path_prefix: /read/
    methods: [GET, HEAD]
    service: tides
    open_to_all: true
    timeout_ms: 4000
    attempts: 2
    hedging: true
    idempotent: true
    priority: 1
    latency_target_ms: 1200
  - name: split
    path_prefix: /split/
    targets:
      - {service: tides, weight: 0.9}
      - {service: notes, weight: 0.1}
datacentres_out: [south]
caller_limits:
  head_bytes: 16384
  body_bytes: 67108864
  head_timeout_ms: 3000
  idle_timeout_ms: 15000
)";

struct transfer_fixture {
    const stored_document m_stored{"tides", 7, "edit", text, {"earlier"}};
    const document m_parsed_document = value_of(parse_document(text));
    const std::string m_bytes = encode_document_transfer(m_stored, m_parsed_document);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(document_transfer, transfer_fixture)

BOOST_AUTO_TEST_CASE(the_parsed_document_and_the_record_come_back_as_they_were)
{
    const auto compressed = compress_document(m_stored, m_parsed_document);
    for (const auto& read : {decode_document_transfer(m_bytes), decompress_document(compressed)}) {
        BOOST_TEST_REQUIRE(read.has_value());
        BOOST_TEST((read->m_stored == m_stored));
        BOOST_TEST_REQUIRE(read->m_parsed_document != nullptr);
        BOOST_TEST((*read->m_parsed_document == m_parsed_document));
    }
}

BOOST_AUTO_TEST_CASE(a_record_is_read_without_a_parsed_document)
{
    const auto read = decode_document_transfer(encode_document_record(m_stored));
    BOOST_TEST_REQUIRE(read.has_value());
    BOOST_TEST((read->m_stored == m_stored));
    BOOST_TEST(read->m_parsed_document == nullptr);
}

BOOST_AUTO_TEST_CASE(a_document_that_cannot_be_encoded_is_sent_as_a_record)
{
    auto too_long = m_parsed_document;
    too_long.m_routes.front().m_path_prefix = std::string(100'000, 'a');
    const auto read = decode_document_transfer(encode_document_transfer(m_stored, too_long));
    BOOST_TEST_REQUIRE(read.has_value());
    BOOST_TEST(read->m_parsed_document == nullptr);
}

BOOST_AUTO_TEST_CASE(damaged_transfers_are_refused)
{
    // Any cut within the lines in front of the text makes a record unreadable.
    const auto end_of_fields = m_bytes.size() - text.size();
    for (std::size_t size = 0; size < end_of_fields; ++size) {
        BOOST_TEST(!decode_document_transfer(std::string_view{m_bytes}.substr(0, size)));
    }
    for (std::size_t place = 0; place < end_of_fields; ++place) {
        auto damaged = m_bytes;
        damaged[place] = static_cast<char>(damaged[place] ^ 0xFF);
        decode_document_transfer(damaged); // Whatever it yields, it reads nothing out of bounds.
    }
    BOOST_TEST(!decompress_document(m_bytes).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
