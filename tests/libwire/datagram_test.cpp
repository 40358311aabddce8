#include "libwire/attempt_metadata.h"
#include "libwire/datagram.h"

#include <boost/test/unit_test.hpp>

using namespace chivevane;

BOOST_AUTO_TEST_SUITE(datagrams)

namespace {

datagram sample_datagram()
{
    host_record record{{"marsh-1", 7},       "marsh", {"127.0.1.1", 1, 2, 3, 4},
                       member_status::alive, {},      9};
    record.m_upstreams.push_back({"tides-1", "tides", 4, 2, 0});
    return {{"marsh-1", 7}, 12, {1000, 2}, record};
}

} // namespace

BOOST_AUTO_TEST_CASE(a_datagram_survives_a_round_trip)
{
    const auto bytes = encode_datagram(sample_datagram(), "secret");
    const auto decoded = decode_datagram(value_of(bytes), "secret");
    BOOST_TEST((value_of(decoded) == sample_datagram()));
}

BOOST_AUTO_TEST_CASE(every_changed_byte_is_detected)
{
    const auto bytes = value_of(encode_datagram(sample_datagram(), "secret"));
    for (std::size_t position = 0; position < bytes.size(); ++position) {
        auto changed = bytes;
        changed[position] = static_cast<char>(changed[position] ^ 1);
        const auto decoded = decode_datagram(changed, "secret");
        BOOST_TEST_REQUIRE(is_error(decoded));
        BOOST_TEST((error_of(decoded).m_kind == error_kind::unauthenticated));
    }
}

BOOST_AUTO_TEST_CASE(a_datagram_signed_with_another_secret_is_refused)
{
    const auto bytes = value_of(encode_datagram(sample_datagram(), "other"));
    BOOST_TEST(is_error(decode_datagram(bytes, "secret")));
}

BOOST_AUTO_TEST_CASE(an_oversized_message_is_refused)
{
    auto packet = sample_datagram();
    std::get<host_record>(packet.m_message).m_datacentre.assign(max_datagram_size, 'x');
    BOOST_TEST((error_of(encode_datagram(packet, "secret")).m_kind == error_kind::too_large));
}

BOOST_AUTO_TEST_CASE(attempt_metadata_survives_a_round_trip_and_is_signed)
{
    const attempt_metadata metadata{
        {{"marsh-1", 7}, 3, 1}, 8,        "tides-1", "tides", "notes",
        "blackmorass",          "parish", 4,         99,      std::chrono::milliseconds{250}};
    request_head head{"GET", "/notes", {{"Accept", "*/*"}}};
    add_attempt_metadata(head, metadata, 17, "secret");
    BOOST_TEST((value_of(parse_attempt_metadata(head, 17, "secret")) == metadata));
    BOOST_TEST(is_error(parse_attempt_metadata(head, 18, "secret")));
    head.m_target = "/other";
    BOOST_TEST(is_error(parse_attempt_metadata(head, 17, "secret")));
}

BOOST_AUTO_TEST_SUITE_END()
