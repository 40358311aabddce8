#include "libhost/announcement.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace chivevane;

BOOST_AUTO_TEST_SUITE(announcements)

BOOST_AUTO_TEST_CASE(an_announcement_with_all_fields_is_parsed)
{
    const auto announcement = value_of(parse_announcement(
        R"({"endpoint":"tides-1","service":"tides","ip":"127.0.0.1","port":9000,"slots":4,)"
        R"("warmth":"warm","phase":"draining","run":7,"time_to_live_ms":100000})"));
    upstream_announcement expected{"tides-1", "tides", "127.0.0.1", 9000, 4};
    expected.m_warm_up_state = warm_up_state::warm;
    expected.m_phase = upstream_phase::draining;
    expected.m_run = 7;
    expected.m_time_to_live = 60s; // The time to live is clamped to its maximum.
    BOOST_TEST((announcement == expected));
}

BOOST_AUTO_TEST_CASE(every_invalid_announcement_is_a_typed_error)
{
    const std::string invalid_bodies[] = {
        "",
        "[]",
        R"({"endpoint":"a"})",
        R"({"endpoint":"","service":"b","ip":"127.0.0.1","port":1,"slots":1})",
        R"({"endpoint":"a","service":"b","ip":"127.0.0.1","port":1,"slots":0})",
        R"({"endpoint":"a","service":"b","ip":"127.0.0.1","port":1,"slots":100000})",
        R"({"endpoint":"a","service":"b","ip":"127.0.0.1","port":"x","slots":1})",
    };
    for (const auto& body : invalid_bodies) {
        const auto announcement = parse_announcement(body);
        BOOST_TEST_REQUIRE(is_error(announcement), body);
        BOOST_TEST(!error_of(announcement).m_remedy.empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()
