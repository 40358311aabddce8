#include "libhost/announcement.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace chivevane;

BOOST_AUTO_TEST_SUITE(announcements)

BOOST_AUTO_TEST_CASE(a_whole_announcement_is_read)
{
    const auto news = value_of(parse_announcement(
        R"({"endpoint":"tides-1","service":"tides","ip":"127.0.0.1","port":9000,"slots":4,)"
        R"("warmth":"warm","phase":"draining","run":7,"time_to_live_ms":100000})"));
    upstream_announced wanted{"tides-1", "tides", "127.0.0.1", 9000, 4};
    wanted.m_warmth = upstream_warmth::warm;
    wanted.m_phase = upstream_phase::draining;
    wanted.m_run = 7;
    wanted.m_time_to_live = 60s; // The longest that is allowed.
    BOOST_TEST((news == wanted));
}

BOOST_AUTO_TEST_CASE(every_fault_is_a_typed_error)
{
    const std::string faults[] = {
        "",
        "[]",
        R"({"endpoint":"a"})",
        R"({"endpoint":"","service":"b","ip":"127.0.0.1","port":1,"slots":1})",
        R"({"endpoint":"a","service":"b","ip":"127.0.0.1","port":1,"slots":0})",
        R"({"endpoint":"a","service":"b","ip":"127.0.0.1","port":1,"slots":100000})",
        R"({"endpoint":"a","service":"b","ip":"127.0.0.1","port":"x","slots":1})",
    };
    for (const auto& fault : faults) {
        const auto news = parse_announcement(fault);
        BOOST_TEST_REQUIRE(is_error(news), fault);
        BOOST_TEST(!error_of(news).m_remedy.empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()
