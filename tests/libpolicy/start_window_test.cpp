#include "libpolicy/admission/admission.h"
#include "libpolicy/admission/start_window.h"

#include "libbase/random_engine.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace chivevane;

BOOST_AUTO_TEST_SUITE(start_windows)

BOOST_AUTO_TEST_CASE(no_second_has_more_starts_than_the_limit)
{
    constexpr std::uint32_t limit = 21;
    admission::start_window window;
    random_engine random{4};
    std::vector<instant> starts;
    instant now{1h};
    for (int step = 0; step < 20'000; ++step) {
        now += duration{random(20'000)};
        if (admission::may_start(window, limit, instant::min(), now)) {
            admission::record_start(window, now);
            starts.push_back(now);
        }
    }
    for (std::size_t first = 0; first + limit < starts.size(); ++first) {
        BOOST_TEST_REQUIRE((starts[first + limit] - starts[first] > duration{1s}));
    }
    BOOST_TEST(starts.size() > 3000U);
}

BOOST_AUTO_TEST_CASE(next_start_returns_when_another_attempt_may_start)
{
    admission::start_window window;
    const instant now{1h};
    BOOST_TEST((admission::next_start(window, 2, instant::min()) <= now));
    admission::record_start(window, now);
    admission::record_start(window, now + 100ms);
    BOOST_TEST(!admission::may_start(window, 2, instant::min(), now + 200ms));
    const auto next = admission::next_start(window, 2, instant::min());
    BOOST_TEST((next > now + 1s));
    BOOST_TEST(admission::may_start(window, 2, instant::min(), next));
}

BOOST_AUTO_TEST_CASE(a_cold_upstream_gets_its_start_rate_after_the_blocked_time)
{
    admission_state state;
    instant now{1h};
    admission::set_upstream(state, "e", 8, warm_up_state::cold, admission::announced_run::new_run,
                            now);
    admission::set_cold_bounds(state, "e", {10, 15});
    admission::block_starts(state, "e", now + 1s);
    std::size_t started = 0;
    for (std::uint64_t request = 0; request < 3000; ++request) {
        now += 1ms;
        const queued_attempt attempt{
            {{"h", 1}, request, 1},        "e", "o", now + 1s, now + 1s, {}, 0,
            queueing_permission::forbidden};
        if (admission::offer(state, attempt, now) == admission::decision::started) {
            BOOST_TEST((now >= instant{1h} + 1s));
            ++started;
            admission::release(state, "e", admission::run_result::good, 1ms, now);
        }
    }
    BOOST_TEST(started >= 18U);
    BOOST_TEST(started <= 20U);
}

BOOST_AUTO_TEST_CASE(starts_before_a_confirmation_do_not_count)
{
    admission::start_window window;
    const instant now{1h};
    admission::record_start(window, now);
    admission::record_start(window, now + 100ms);
    BOOST_TEST(!admission::may_start(window, 1, now + 50ms, now + 200ms));
    BOOST_TEST(admission::may_start(window, 1, now + 100ms, now + 200ms));
    BOOST_TEST((admission::next_start(window, 1, now + 50ms) > now + 1100ms));
    BOOST_TEST((admission::next_start(window, 1, now + 100ms) <= now + 200ms));
}

/// Upstream that becomes cold at a random moment. The gate learns of it only from the answers to
/// health checks, which take some time in both directions.
struct cooling_upstream {
    bool is_cold(instant at) const { return at >= m_cold_from && at < m_cold_until; }

    instant m_cold_from = instant::max();
    instant m_cold_until = instant::max();
};

BOOST_AUTO_TEST_CASE(an_upstream_that_becomes_cold_unnoticed_gets_no_more_than_it_tolerates)
{
    constexpr cold_bounds bounds{12, 26};
    random_engine random{9};
    std::size_t most_started = 0;
    for (int round = 0; round < 60; ++round) {
        admission_state state;
        instant now{1h};
        admission::set_upstream(state, "e", 8, warm_up_state::warm,
                                admission::announced_run::new_run, now);
        admission::set_cold_bounds(state, "e", bounds);
        cooling_upstream upstream;
        upstream.m_cold_from = now + 3s + duration{random(2'000'000)};
        std::vector<instant> starts;
        instant check_sent_at = instant::max();
        instant next_check = now;
        for (std::uint64_t request = 0; now < instant{1h} + 7s; ++request) {
            now += duration{random(8'000)};
            if (check_sent_at != instant::max() && now - check_sent_at > 60ms) {
                if (upstream.is_cold(check_sent_at + 30ms)) {
                    admission::mark_cold(state, "e");
                }
                else {
                    admission::confirm_warm(state, "e", check_sent_at);
                }
                check_sent_at = instant::max();
            }
            const queued_attempt attempt{
                {{"h", 1}, request, 1},        "e", "o", now + 1s, now + 1s, {}, 0,
                queueing_permission::forbidden};
            if (admission::offer(state, attempt, now) == admission::decision::started) {
                starts.push_back(now);
                admission::release(state, "e", admission::run_result::good, 1ms, now);
            }
            if (check_sent_at == instant::max() && now >= next_check &&
                admission::needs_confirmation(state, "e", now)) {
                check_sent_at = now;
                next_check = now + 340ms;
            }
        }
        for (const auto from : starts) {
            const auto in_a_second =
                std::count_if(starts.begin(), starts.end(),
                              [from](instant each) { return each >= from && each - from < 1s; });
            if (from >= upstream.m_cold_from) {
                BOOST_TEST_REQUIRE(static_cast<double>(in_a_second) <= bounds.m_max_start_rate);
            }
            else if (from + 1s < upstream.m_cold_from) {
                most_started = std::max(most_started, static_cast<std::size_t>(in_a_second));
            }
        }
    }
    BOOST_TEST(most_started > 60U); // A warm upstream gets far more than a cold one tolerates.
}

BOOST_AUTO_TEST_SUITE_END()
