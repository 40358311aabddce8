#include "libwire/datagram.h"
#include "libwire/link_head.h"

#include <boost/test/unit_test.hpp>

using namespace chivevane;

BOOST_AUTO_TEST_SUITE(datagrams)

namespace {

datagram sample()
{
    heartbeat news{{"marsh-1", 7}, "marsh", {"127.0.1.1", 1, 2, 3, 4}, member_status::alive, {}, 9};
    news.m_upstreams.push_back({"tides-1", "tides", 4, 2, 0});
    return {{"marsh-1", 7}, 12, {1000, 2}, news};
}

} // namespace

BOOST_AUTO_TEST_CASE(a_datagram_survives_the_way)
{
    const auto bytes = encode_datagram(sample(), "secret");
    const auto back = decode_datagram(value_of(bytes), "secret");
    BOOST_TEST((value_of(back) == sample()));
}

BOOST_AUTO_TEST_CASE(every_changed_byte_is_noticed)
{
    const auto bytes = value_of(encode_datagram(sample(), "secret"));
    for (std::size_t place = 0; place < bytes.size(); ++place) {
        auto changed = bytes;
        changed[place] = static_cast<char>(changed[place] ^ 1);
        const auto back = decode_datagram(changed, "secret");
        BOOST_TEST_REQUIRE(is_error(back));
        BOOST_TEST((error_of(back).m_kind == error_kind::unauthenticated));
    }
}

BOOST_AUTO_TEST_CASE(a_stranger_is_refused)
{
    const auto bytes = value_of(encode_datagram(sample(), "other"));
    BOOST_TEST(is_error(decode_datagram(bytes, "secret")));
}

BOOST_AUTO_TEST_CASE(an_oversized_message_is_refused)
{
    auto packet = sample();
    std::get<heartbeat>(packet.m_message).m_datacentre.assign(max_datagram_size, 'x');
    BOOST_TEST((error_of(encode_datagram(packet, "secret")).m_kind == error_kind::too_large));
}

BOOST_AUTO_TEST_CASE(link_fields_survive_the_way_and_are_signed)
{
    const link_head link{
        {{"marsh-1", 7}, 3, 1}, 8,        "tides-1", "tides", "notes",
        "blackmorass",          "parish", 4,         99,      std::chrono::milliseconds{250}};
    request_head head{"GET", "/notes", {{"Accept", "*/*"}}};
    add_link_fields(head, link, 17, "secret");
    BOOST_TEST((value_of(parse_link_fields(head, 17, "secret")) == link));
    BOOST_TEST(is_error(parse_link_fields(head, 18, "secret")));
    head.m_target = "/other";
    BOOST_TEST(is_error(parse_link_fields(head, 17, "secret")));
}

BOOST_AUTO_TEST_SUITE_END()
