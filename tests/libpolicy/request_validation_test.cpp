#include "libpolicy/host_fixture.h"
#include "libpolicy/ingress/request_validation.h"

#include <boost/test/unit_test.hpp>

using namespace chivevane;
using namespace chivevane::test;

namespace {

const std::vector<request_head> ambiguous_heads{
    {"GET", "/tides", {}},
    {"GET", "/tides", {{"Host", "a"}, {"host", "b"}}},
    {"GET", "/tides", {{"Host", ""}}},
    {"GET", "/tides", {{"Host", "a b"}}},
    {"GET", "/tides", {{"Host", "a@b"}}},
    {"GET", "/tides", {{"Host", "a/b"}}},
    {"GET", "/tides", {{"Host", "a"}, {"X-Odd ", "1"}}},
    {"GET", "/tides", {{"Host", "a"}, {"", "1"}}},
    {"GET", "/tides", {{"Host", "a"}, {"X-Odd", "1\r\n X: 2"}}},
    {"GET", "/tides", {{"Host", "a"}, {"X-Odd", std::string("1\0", 2)}}},
    {"GET", "/tides", {{"Host", "a"}, {"Content-Length", "1"}, {"Content-Length", "1"}}},
    {"GET", "/tides", {{"Host", "a"}, {"Content-Length", "+1"}}},
    {"GET", "/tides", {{"Host", "a"}, {"Content-Length", "1"}, {"Transfer-Encoding", "chunked"}}},
    {"GET", "/tides", {{"Host", "a"}, {"Transfer-Encoding", "gzip, chunked"}}},
    {"GET", "/tides", {{"Host", "a"}, {"X-Api-Key", "1"}, {"X-Api-Key", "2"}}},
    {"GET", "http://b/tides", {{"Host", "a"}}},
    {"GET", "/tides HTTP/1.1\r\nX: ", {{"Host", "a"}}},
    {"GET", "/" + std::string(10'000, 'x'), {{"Host", "a"}}},
    {"G T", "/tides", {{"Host", "a"}}},
    {"", "/tides", {{"Host", "a"}}},
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(request_validation, host_fixture)

BOOST_AUTO_TEST_CASE(ambiguous_heads_are_refused_before_routing)
{
    load_sample_document();
    announce("tides-1", "tides");
    exchange_id exchange = 0;
    for (const auto& head : ambiguous_heads) {
        const auto effects = feed(inbound_request{++exchange, listener_kind::caller, head, 0, 0});
        BOOST_TEST_CONTEXT("head " << exchange)
        {
            BOOST_TEST_REQUIRE(effects_of_type<respond>(effects).size() == 1U);
            BOOST_TEST(effects_of_type<respond>(effects)[0].m_head.m_status == 400);
            BOOST_TEST(effects_of_type<start_transfer>(effects).empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(no_accepted_head_contains_a_line_end)
{
    constexpr std::string_view alphabet{"ab1: \t\r\n\0-", 10};
    random_engine random{1};
    const auto text = [&] {
        std::string generated;
        for (auto length = random(4); length > 0; --length) {
            generated += alphabet[random(static_cast<std::uint32_t>(alphabet.size()))];
        }
        return generated;
    };
    int passed = 0;
    for (int round = 0; round < 20'000; ++round) {
        const auto name = text();
        const auto value = text();
        const auto target = "/" + text();
        if (!ingress::is_well_formed({"GET", target, {{"Host", "a"}, {name, value}}})) {
            continue;
        }
        ++passed;
        auto all = name;
        all.append(value).append(target);
        BOOST_TEST_REQUIRE(all.find_first_of(std::string_view{"\r\n\0", 3}) == std::string::npos);
        BOOST_TEST_REQUIRE(name.find_first_of(" :\t") == std::string::npos);
    }
    BOOST_TEST(passed > 0);
}

BOOST_AUTO_TEST_SUITE_END()
