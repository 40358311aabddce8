#include "libpolicy/admission/concurrency_limit.h"

#include "libbase/random_engine.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <queue>
#include <vector>

using namespace chivevane;

BOOST_AUTO_TEST_SUITE(concurrency_limits)

namespace {

/// Upstream with more requests waiting than its limit lets run.
class busy_upstream {
public:
    busy_upstream(std::uint32_t slots, duration run, warm_up_state announced) : m_run(run)
    {
        admission::set_slots(m_limit, slots);
        admission::restart(m_limit, announced, m_now);
    }

    /// Runs until `length` has passed. A request that may start does so within a millisecond.
    void run_for(duration length)
    {
        const auto end = m_now + length;
        for (start_waiting(); m_now < end; start_waiting()) {
            m_now += 1ms;
            while (!m_ends.empty() && m_ends.top() <= m_now) {
                m_ends.pop();
                admission::on_good_answer(m_limit, {m_run, m_run, running() + 1}, m_now);
            }
        }
    }

    /// Time until all slots are in use, in steps of 10 ms; `longest` if they are not by then.
    duration time_to_full_use(duration longest)
    {
        const auto began = m_now;
        while (running() < m_limit.m_slots && m_now - began < longest) {
            run_for(10ms);
        }
        return m_now - began;
    }

    std::uint32_t running() const { return static_cast<std::uint32_t>(m_ends.size()); }

    admission::concurrency_limit m_limit;
    instant m_now{1h};
    duration m_run;
    std::uint32_t m_bearable = 1'000'000; ///< Requests that it runs at once; it refuses others.
    double m_refused_share = 0;           ///< Share that it refuses whatever its load.
    std::uint64_t m_refused = 0;
    std::uint64_t m_started = 0;

private:
    void start_waiting()
    {
        const auto may_start = [this] {
            return running() < admission::current_limit(m_limit) && m_now >= m_limit.m_paused_until;
        };
        while (may_start()) {
            if (running() >= m_bearable || uniform_fraction(m_random) < m_refused_share) {
                ++m_refused;
                admission::on_load_refused(m_limit, {1ms, m_run, running() + 1}, m_now);
                return; // The next request comes a moment later.
            }
            ++m_started;
            m_ends.push(m_now + m_run);
        }
    }

    random_engine m_random{7};
    std::priority_queue<instant, std::vector<instant>, std::greater<>> m_ends;
};

const std::vector<std::uint32_t> slot_counts{1, 4, 11, 64};
const std::vector<duration> run_times{20ms, 800ms, 5s};

} // namespace

// Guards against a limit that is learnt by counting answers: 19 s to 11 slots with runs of 0.8 s.
BOOST_AUTO_TEST_CASE(a_warm_upstream_is_used_up_to_its_slots_at_once)
{
    for (const auto slots : slot_counts) {
        for (const auto run : run_times) {
            busy_upstream warm{slots, run, warm_up_state::warm};
            BOOST_TEST((warm.time_to_full_use(60s) < 1s));
            busy_upstream cold{slots, run, warm_up_state::cold};
            cold.run_for(3s);
            admission::restart(cold.m_limit, warm_up_state::warm, cold.m_now);
            BOOST_TEST((cold.time_to_full_use(60s) < 1s));
        }
    }
}

// Guards against overloading an upstream that says that it is cold.
BOOST_AUTO_TEST_CASE(a_cold_upstream_starts_with_one_request)
{
    busy_upstream cold{11, 20ms, warm_up_state::cold};
    cold.run_for(10ms);
    BOOST_TEST(cold.running() == 1U);
    cold.run_for(1s);
    admission::on_load_refused(cold.m_limit, {1ms, 20ms, 2}, cold.m_now);
    BOOST_TEST(admission::current_limit(cold.m_limit) == 1U);
}

// Guards against one refusal that takes all slots away for many seconds.
BOOST_AUTO_TEST_CASE(a_refusal_on_load_takes_off_a_share_that_comes_back_within_seconds)
{
    for (const auto slots : slot_counts) {
        for (const auto run : run_times) {
            busy_upstream upstream{slots, run, warm_up_state::warm};
            upstream.run_for(100ms);
            upstream.m_now += 5s; // No answer shows how many requests it bears.
            admission::on_load_refused(upstream.m_limit, {1ms, run, slots}, upstream.m_now);
            const auto reduced = admission::current_limit(upstream.m_limit);
            BOOST_TEST(reduced == std::max(1U, static_cast<std::uint32_t>(slots * 0.7)));
            upstream.run_for(6s + 2 * run);
            BOOST_TEST(upstream.running() == slots);
        }
    }
}

// Guards against a burst of refusals, which shows one overload, being counted as many.
BOOST_AUTO_TEST_CASE(refusals_of_one_moment_reduce_the_limit_once)
{
    busy_upstream upstream{10, 800ms, warm_up_state::warm};
    upstream.run_for(100ms);
    for (int refused = 0; refused < 8; ++refused) {
        admission::on_load_refused(upstream.m_limit, {1ms, 800ms, 11}, upstream.m_now);
        upstream.m_now += 2ms;
    }
    BOOST_TEST(admission::current_limit(upstream.m_limit) == 7U);
}

// Guards against an upstream that bears less than it announces being asked for all its slots again
// and again.
BOOST_AUTO_TEST_CASE(an_upstream_that_bears_less_than_it_announces_refuses_few_requests)
{
    busy_upstream upstream{11, 800ms, warm_up_state::warm};
    upstream.m_bearable = 3;
    upstream.run_for(60s);
    const auto refused_share = static_cast<double>(upstream.m_refused) /
                               static_cast<double>(upstream.m_refused + upstream.m_started);
    const auto use = static_cast<double>(upstream.m_started) * 0.8 / 60 / 3;
    BOOST_TEST_MESSAGE("bears 3 of 11: refused share " << refused_share << ", use " << use);
    BOOST_TEST(refused_share < 0.2);
    BOOST_TEST(use > 0.8);
}

// Guards against an upstream that refuses a part of its requests whatever its load going unused.
BOOST_AUTO_TEST_CASE(an_upstream_that_refuses_at_random_keeps_a_part_of_its_slots)
{
    busy_upstream upstream{8, 500ms, warm_up_state::warm};
    upstream.m_refused_share = 0.55;
    upstream.run_for(60s);
    const auto use = static_cast<double>(upstream.m_started) * 0.5 / 60 / 8;
    BOOST_TEST_MESSAGE("refuses 55 in 100: use of its slots " << use);
    BOOST_TEST(use > 0.5);
}

// Guards against an upstream that became cold or slow without a word keeping all its slots.
BOOST_AUTO_TEST_CASE(a_fourfold_slowdown_halves_the_limit)
{
    busy_upstream upstream{8, 100ms, warm_up_state::warm};
    upstream.run_for(10s);
    for (int answer = 0; answer < 20; ++answer) {
        upstream.m_now += 500ms;
        admission::on_good_answer(upstream.m_limit, {500ms, 100ms, 8}, upstream.m_now);
        if (upstream.m_limit.m_limit < 8) {
            break;
        }
    }
    BOOST_TEST(admission::current_limit(upstream.m_limit) == 4U);
}

// Guards against a route with long runs being taken for an overload beside one with short runs.
BOOST_AUTO_TEST_CASE(a_change_from_short_to_long_runs_is_no_slowdown)
{
    busy_upstream upstream{8, 110ms, warm_up_state::warm};
    upstream.run_for(10s);
    for (int answer = 0; answer < 50; ++answer) {
        upstream.m_now += 200ms;
        admission::on_good_answer(upstream.m_limit, {1500ms, 1500ms, 8}, upstream.m_now);
        BOOST_TEST(admission::current_limit(upstream.m_limit) == 8U);
    }
}

// Guards against a new announcement of more slots that does not take effect.
BOOST_AUTO_TEST_CASE(a_limit_that_uses_all_slots_follows_their_number)
{
    busy_upstream upstream{4, 100ms, warm_up_state::warm};
    admission::set_slots(upstream.m_limit, 8);
    BOOST_TEST(admission::current_limit(upstream.m_limit) == 8U);
    admission::set_slots(upstream.m_limit, 2);
    BOOST_TEST(admission::current_limit(upstream.m_limit) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
