// Checks the decisions of load shedding one by one.

#include "libpolicy/admission/load_shedding.h"

#include "libbase/random_engine.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace chivevane;
using load_shedding::queued_work;
using load_shedding::shed_cause;
using load_shedding::shed_work;
using load_shedding::upstream_load;

namespace {

const instant now{1h};

/// A full upstream with one slot and a mean run of 100 ms.
upstream_load one_slot()
{
    return {1, 1, 100ms, {}, 0, 100, now};
}

/// An attempt of `organisation` that is due `due` from now.
queued_work work(std::string_view organisation, duration due, duration run = 100ms,
                 std::uint32_t priority = 1, double use = 0)
{
    return {priority, organisation, use, now + due, run};
}

/// Most jobs of one machine that can end in time, found by trying all sets.
std::size_t most_in_time(const std::vector<queued_work>& jobs)
{
    std::size_t most = 0;
    for (std::size_t set = 0; set < std::size_t{1} << jobs.size(); ++set) {
        std::vector<queued_work> chosen;
        for (std::size_t job = 0; job < jobs.size(); ++job) {
            if ((set >> job & 1) != 0) {
                chosen.push_back(jobs[job]);
            }
        }
        std::sort(chosen.begin(), chosen.end(),
                  [](const auto& a, const auto& b) { return a.m_due < b.m_due; });
        auto end = now;
        const bool fits = std::all_of(chosen.begin(), chosen.end(), [&end](const auto& job) {
            end += job.m_run;
            return end <= job.m_due;
        });
        most = fits ? std::max(most, chosen.size()) : most;
    }
    return most;
}

} // namespace

BOOST_AUTO_TEST_SUITE(load_shedding_decisions)

BOOST_AUTO_TEST_CASE(attempts_run_by_priority_then_slot_time_then_due_time)
{
    const std::vector queued{work("a", 9s, 100ms, 2), work("a", 9s, 100ms, 1, 3),
                             work("b", 9s, 400ms, 1, 1), work("b", 8s, 100ms, 1, 1),
                             work("c", 9s, 100ms, 1, 1.5)};
    const auto plan = load_shedding::make_plan(queued, one_slot());
    BOOST_TEST((plan.m_run_order == std::vector<std::size_t>{3, 4, 2, 1, 0}));
    BOOST_TEST(plan.m_shed.empty());
}

BOOST_AUTO_TEST_CASE(a_long_run_counts_as_more_use_than_a_short_one)
{
    // Both organisations have used the same. After one run of 400 ms, four of 100 ms follow.
    const std::vector queued{work("long", 8s, 400ms), work("long", 9s, 400ms), work("short", 9s),
                             work("short", 9s),       work("short", 9s),       work("short", 9s)};
    const auto plan = load_shedding::make_plan(queued, one_slot());
    BOOST_TEST((plan.m_run_order == std::vector<std::size_t>{0, 2, 3, 4, 5, 1}));
}

BOOST_AUTO_TEST_CASE(an_attempt_that_cannot_be_in_time_is_refused_and_keeps_none_from_running)
{
    const std::vector queued{work("a", 90ms), work("a", 210ms)};
    const auto plan = load_shedding::make_plan(queued, one_slot());
    BOOST_TEST((plan.m_shed == std::vector{shed_work{0, shed_cause::hopeless}}));
    BOOST_TEST((plan.m_run_order == std::vector<std::size_t>{1}));
}

BOOST_AUTO_TEST_CASE(a_costlier_attempt_of_the_same_priority_gives_way)
{
    const std::vector queued{work("a", 650ms, 500ms), work("a", 660ms), work("a", 670ms)};
    const auto plan = load_shedding::make_plan(queued, one_slot());
    BOOST_TEST((plan.m_shed == std::vector{shed_work{0, shed_cause::displaced}}));
    BOOST_TEST((plan.m_run_order == std::vector<std::size_t>{1, 2}));
}

BOOST_AUTO_TEST_CASE(more_urgent_work_never_gives_way_to_less_urgent_work)
{
    const std::vector queued{work("a", 2s, 1500ms, 1), work("a", 1s, 100ms, 2),
                             work("b", 1s, 100ms, 2)};
    const auto plan = load_shedding::make_plan(queued, one_slot());
    BOOST_TEST((plan.m_run_order == std::vector<std::size_t>{0}));
    BOOST_TEST((plan.m_shed ==
                std::vector{shed_work{1, shed_cause::late}, shed_work{2, shed_cause::late}}));
}

BOOST_AUTO_TEST_CASE(an_urgent_newcomer_takes_the_place_of_less_urgent_work)
{
    const std::vector queued{work("a", 190ms, 100ms, 2)};
    const auto decision =
        load_shedding::decide_newcomer(queued, work("b", 1s, 100ms, 1), one_slot());
    BOOST_TEST(!decision.m_refused);
    BOOST_TEST((decision.m_shed == std::vector{shed_work{0, shed_cause::late}}));
}

BOOST_AUTO_TEST_CASE(a_refused_newcomer_displaces_none)
{
    const std::vector queued{work("a", 250ms)};
    const auto late = load_shedding::decide_newcomer(queued, work("a", 260ms), one_slot());
    BOOST_TEST((late.m_refused == shed_cause::late));
    BOOST_TEST(late.m_shed.empty());
    const auto hopeless = load_shedding::decide_newcomer(queued, work("a", 50ms), one_slot());
    BOOST_TEST((hopeless.m_refused == shed_cause::hopeless));
}

BOOST_AUTO_TEST_CASE(an_organisation_inside_its_share_does_not_give_way_to_a_flood)
{
    // The flood is due first and needs less work for each attempt, but more in all.
    std::vector queued{work("small", 800ms, 300ms)};
    for (int count = 0; count < 12; ++count) {
        queued.push_back(work("flood", 750ms, 100ms, 1, 6));
    }
    const auto plan = load_shedding::make_plan(queued, one_slot());
    BOOST_TEST(plan.m_run_order.front() == 0U);
    BOOST_TEST(plan.m_run_order.size() == 5U); // 300 ms and 4 x 100 ms.
    BOOST_TEST(std::all_of(plan.m_shed.begin(), plan.m_shed.end(),
                           [](const auto& shed) { return shed.m_index != 0; }));
}

BOOST_AUTO_TEST_CASE(an_organisation_beyond_its_share_gives_way_with_its_longest_attempt)
{
    // The longest attempt of the large one would be late after the attempt of the small one.
    const std::vector queued{work("large", 1400ms, 700ms, 1, 1), work("large", 1450ms, 100ms, 1, 1),
                             work("large", 1490ms, 600ms, 1, 1), work("small", 1s, 100ms, 1, 9)};
    const auto plan = load_shedding::make_plan(queued, one_slot());
    BOOST_TEST((plan.m_shed == std::vector{shed_work{0, shed_cause::displaced}}));
    BOOST_TEST((plan.m_run_order == std::vector<std::size_t>{1, 2, 3}));
}

BOOST_AUTO_TEST_CASE(an_attempt_that_can_wait_is_deferred_rather_than_refused)
{
    // Refusing the long attempt would leave its slot time to less urgent work.
    const std::vector queued{work("large", 6s, 1500ms), work("small", 1s, 100ms, 1, 1)};
    const auto plan = load_shedding::make_plan(queued, one_slot());
    BOOST_TEST((plan.m_run_order == std::vector<std::size_t>{1, 0}));
    BOOST_TEST(plan.m_shed.empty());
}

BOOST_AUTO_TEST_CASE(a_long_queue_loses_the_least_urgent_costliest_attempt)
{
    auto load = one_slot();
    load.m_max_queued = 3;
    const std::vector queued{work("a", 9s, 400ms, 1), work("a", 9s, 200ms, 2),
                             work("a", 9s, 300ms, 2), work("a", 9s, 100ms, 2)};
    const auto plan = load_shedding::make_plan(queued, load);
    BOOST_TEST((plan.m_shed == std::vector{shed_work{2, shed_cause::queue_full}}));
}

BOOST_AUTO_TEST_CASE(the_start_rate_of_the_upstream_delays_attempts)
{
    auto load = one_slot();
    load.m_concurrency = 100;
    load.m_start_rate = 2;
    const std::vector queued{work("a", 700ms), work("a", 800ms), work("a", 1200ms)};
    const auto plan = load_shedding::make_plan(queued, load);
    // One start after 500 ms, the next after 1 s.
    BOOST_TEST((plan.m_run_order == std::vector<std::size_t>{0, 2}));
}

BOOST_AUTO_TEST_CASE(as_many_attempts_of_one_organisation_run_in_time_as_possible)
{
    random_engine random{5};
    for (int round = 0; round < 300; ++round) {
        std::vector<queued_work> jobs;
        for (std::uint32_t job = 0; job < 3 + random(6); ++job) {
            jobs.push_back(work("a", from_seconds(0.1 + 0.1 * random(20)),
                                from_seconds(0.05 + 0.05 * random(16))));
        }
        auto load = one_slot();
        load.m_running = 0;
        const auto plan = load_shedding::make_plan(jobs, load);
        BOOST_TEST(plan.m_run_order.size() == most_in_time(jobs));
        BOOST_TEST(plan.m_run_order.size() + plan.m_shed.size() == jobs.size());
    }
}

BOOST_AUTO_TEST_CASE(estimates_that_are_wrong_by_four_do_not_invert_priorities)
{
    for (const double factor : {0.25, 1.0, 4.0}) {
        const auto run = from_seconds(0.1 * factor);
        const std::vector queued{work("a", 9s, from_seconds(0.1 / factor), 2),
                                 work("b", 9s, run, 1), work("c", 9s, 100ms, 3)};
        const auto plan = load_shedding::make_plan(queued, one_slot());
        BOOST_TEST((plan.m_run_order == std::vector<std::size_t>{1, 0, 2}));
    }
}

BOOST_AUTO_TEST_SUITE_END()
