#include "platform/heartbeat.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace chivevane;
using namespace chivevane::platform;

namespace {

struct heartbeat_fixture {
    announcement_answer send(const std::string& path, const std::string& body)
    {
        const received_request request{
            1, {"POST", path, {}}, std::make_shared<const std::string>(body)};
        return read_heartbeat(m_state, m_rules, request);
    }

    announcement_answer send_heartbeat(const std::string& endpoint, std::int64_t start_time,
                                       int sequence, const std::string& phase = "ready",
                                       int cold_left = 0)
    {
        return send("/chivevane/Instances.Heartbeat/" + endpoint,
                    fmt::format(R"({{"address":"10.0.0.9:8080","born":{},)"
                                R"("info":{{"service":"tides","version":"v1","zone":"a",)"
                                R"("slots":4}},"status":{{"state":"{}","sequence":{},)"
                                R"("cold-left-ms":{}}}}})",
                                start_time, phase, sequence, cold_left));
    }

    announcement_answer deregister(const std::string& endpoint, std::int64_t start_time)
    {
        return send("/chivevane/Instances.Deregister/" + endpoint,
                    fmt::format(R"({{"born":{}}})", start_time));
    }

    heartbeat_rules m_rules{"10.0.0.9:8080", 9s};
    heartbeat_state m_state;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(heartbeats, heartbeat_fixture)

BOOST_AUTO_TEST_CASE(a_heartbeat_announces_the_upstream)
{
    const auto answer = send_heartbeat("i-1", 100, 1, "ready", 500);
    BOOST_TEST(answer.m_head.m_status == 200);
    BOOST_TEST_REQUIRE(answer.m_announcements.size() == 1U);
    const auto& announcement = answer.m_announcements[0];
    BOOST_TEST(announcement.m_endpoint == "i-1");
    BOOST_TEST(announcement.m_service == "tides");
    BOOST_TEST(announcement.m_ip == "10.0.0.9");
    BOOST_TEST(announcement.m_port == 8080);
    BOOST_TEST(announcement.m_slots == 4U);
    BOOST_TEST((announcement.m_warm_up_state == warm_up_state::cold));
    BOOST_TEST((send_heartbeat("i-1", 100, 2, "draining").m_announcements[0].m_phase ==
                upstream_phase::draining));
}

BOOST_AUTO_TEST_CASE(out_of_order_heartbeats_have_no_effect)
{
    send_heartbeat("i-1", 100, 5);
    BOOST_TEST(send_heartbeat("i-1", 100, 4).m_announcements.empty());
    BOOST_TEST(send_heartbeat("i-1", 100, 5).m_announcements.empty());
    BOOST_TEST(send_heartbeat("i-0", 90, 9).m_announcements.empty());
    BOOST_TEST(send_heartbeat("i-0", 90, 9).m_head.m_status == 200);
    BOOST_TEST(send_heartbeat("i-1", 100, 6).m_announcements.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_replaces_the_earlier_one)
{
    send_heartbeat("i-1", 100, 5);
    const auto same_name = send_heartbeat("i-1", 200, 1);
    BOOST_TEST(same_name.m_announcements.size() == 1U);
    const auto other = send_heartbeat("i-2", 300, 1);
    BOOST_TEST_REQUIRE(other.m_announcements.size() == 2U);
    BOOST_TEST(other.m_announcements[0].m_endpoint == "i-1");
    BOOST_TEST((other.m_announcements[0].m_time_to_live == duration{}));
    BOOST_TEST(other.m_announcements[1].m_endpoint == "i-2");
}

BOOST_AUTO_TEST_CASE(a_deregistered_upstream_is_ignored_until_its_next_incarnation)
{
    send_heartbeat("i-1", 100, 5);
    const auto departure = deregister("i-1", 100);
    BOOST_TEST(departure.m_head.m_status == 200);
    BOOST_TEST_REQUIRE(departure.m_announcements.size() == 1U);
    BOOST_TEST((departure.m_announcements[0].m_phase == upstream_phase::draining));
    BOOST_TEST(send_heartbeat("i-1", 100, 6).m_announcements.empty());
    BOOST_TEST(send_heartbeat("i-1", 200, 1).m_announcements.size() == 1U);
    // A late deregistration of the earlier incarnation has no effect.
    BOOST_TEST(deregister("i-1", 100).m_announcements.empty());
}

BOOST_AUTO_TEST_CASE(an_invalid_heartbeat_announces_nothing)
{
    BOOST_TEST(send("/chivevane/Instances.Heartbeat/i-1", "{").m_head.m_status == 400);
    BOOST_TEST(send("/chivevane/Instances.Heartbeat/i-1", "[]").m_announcements.empty());
    BOOST_TEST(send("/chivevane/Instances.Heartbeat/i-1", R"({"address":"10.0.0.9:8080"})")
                   .m_announcements.empty());
    BOOST_TEST(send_heartbeat("i-1", 100, 1, "resting").m_announcements.empty());
    BOOST_TEST(send("/elsewhere", "{}").m_head.m_status == 404);
    const auto forged = send("/chivevane/Instances.Heartbeat/i-1",
                             R"({"address":"10.0.0.8:8080","born":1,"info":{"service":"tides",)"
                             R"("slots":4},"status":{"state":"ready","sequence":1,)"
                             R"("cold-left-ms":0}})");
    BOOST_TEST(forged.m_announcements.empty());
}

BOOST_AUTO_TEST_SUITE_END()
