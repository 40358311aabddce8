#include "libpolicy/fleet_model.h"

#include <boost/test/unit_test.hpp>

using namespace chivevane;
using namespace chivevane::test;

BOOST_AUTO_TEST_SUITE(health_recovery)

BOOST_AUTO_TEST_CASE(a_recovered_upstream_returns_through_trial_and_ramp)
{
    fleet_model model{{}, 1};
    model.run_for(5s);
    auto& faulty = model.m_upstreams[0];
    faulty.m_fault = {1, 1};
    faulty.m_faulty_from = model.m_now;
    model.run_for(3s);
    BOOST_TEST(model.count_with_status(0, health::health_status::ejected) == model.m_hosts.size());
    const auto while_ejected = model.m_tally.m_started[0];
    model.run_for(1s);
    BOOST_TEST(model.m_tally.m_started[0] == while_ejected);

    faulty.m_faulty_from = instant::max();
    std::size_t trials = 0;
    std::size_t ramps = 0;
    for (int step = 0; step < 100; ++step) {
        model.run_for(200ms);
        trials += model.count_with_status(0, health::health_status::trial);
        ramps += model.count_with_status(0, health::health_status::ramping);
    }
    BOOST_TEST(trials > 0U);
    BOOST_TEST(ramps > 0U);
    BOOST_TEST(model.count_with_status(0, health::health_status::healthy) == model.m_hosts.size());
    const auto ejections_then = model.m_tally.m_ejections;
    model.run_for(30s);
    BOOST_TEST(model.m_tally.m_ejections == ejections_then);
}

BOOST_AUTO_TEST_CASE(each_repeated_ejection_lasts_longer)
{
    fleet_model model{{}, 2};
    model.run_for(5s);
    model.m_upstreams[0].m_fault = {1, 1};
    model.m_upstreams[0].m_faulty_from = model.m_now;
    model.run_for(120s);
    std::vector<instant> on_first_host;
    for (const auto& [when, host] : model.m_tally.m_ejected[model.m_upstreams[0].m_id.m_endpoint]) {
        if (host == 0) {
            on_first_host.push_back(when);
        }
    }
    BOOST_TEST_REQUIRE(on_first_host.size() >= 3U);
    for (std::size_t index = 2; index < on_first_host.size(); ++index) {
        const auto earlier = on_first_host[index - 1] - on_first_host[index - 2];
        BOOST_TEST((on_first_host[index] - on_first_host[index - 1] > earlier));
    }
}

BOOST_AUTO_TEST_CASE(the_ejection_time_is_bounded_and_old_ejections_expire)
{
    health::ejection_state record;
    instant now{1h};
    for (int round = 0; round < 40; ++round) {
        health::eject(record, now);
    }
    BOOST_TEST((record.m_ejection_time == 5min));
    now += record.m_ejection_time;
    BOOST_TEST((health::advance(record, now) == health::status_change::trial_began));
    health::record_trial_answers(record, 5, 0, now);
    BOOST_TEST((record.m_status == health::health_status::ramping));
    for (int minute = 0; minute < 90; ++minute) {
        now += 1min;
        health::advance(record, now);
    }
    BOOST_TEST(record.m_ejections == 0U);
}

BOOST_AUTO_TEST_CASE(a_data_centre_taken_out_gets_no_requests_and_returns_by_ramp_without_refusals)
{
    fleet_shape shape;
    shape.m_requests_per_second = 400;
    shape.m_base_failure_share = 0;
    fleet_model model{shape, 3};
    model.run_for(5s);
    model.m_document.m_datacentres_out = {"dc-0"};
    model.apply_rules();
    model.run_for(3s);
    const auto three_seconds_later = model.m_tally.m_started;
    model.run_for(10s);
    for (const std::size_t index : {0, 3, 6, 9}) {
        BOOST_TEST(model.m_tally.m_started[index] == three_seconds_later[index]);
    }
    model.m_document.m_datacentres_out.clear();
    model.apply_rules();
    const auto before = model.m_tally.m_started;
    model.run_for(1s);
    BOOST_TEST(model.m_tally.m_started[0] > before[0]);
    BOOST_TEST(model.m_tally.m_started[0] - before[0] <
               (model.m_tally.m_started[1] - before[1]) / 2);
    model.run_for(20s);
    BOOST_TEST(model.m_tally.m_refused == 0U);
    BOOST_TEST(model.m_tally.m_ejections == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
