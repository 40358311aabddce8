#include "libpolicy/placement/placement.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace chivevane;

namespace {

/// Decides for one host with three upstreams in its own data centre (options 0 to 2) and three in
/// another (options 3 to 5).
struct placement_fixture {
    placement_fixture()
    {
        for (int index = 0; index < 6; ++index) {
            placement::option each;
            each.m_location.m_upstream = {"host-" + std::to_string(index), "endpoint"};
            each.m_slots = 4;
            each.m_is_in_own_datacentre = index < 3;
            m_options.push_back(each);
        }
    }

    std::optional<placement::decision> decide()
    {
        return placement::decide(m_options, {m_refusals, m_priority, m_is_large, m_now}, m_random);
    }

    /// Returns the options that 200 decisions choose.
    std::set<std::size_t> chosen_options()
    {
        std::set<std::size_t> found;
        for (int round = 0; round < 200; ++round) {
            if (const auto chosen = decide()) {
                found.insert(chosen->m_option);
            }
        }
        return found;
    }

    std::vector<placement::option> m_options;
    std::size_t m_refusals = 0;
    std::uint32_t m_priority = 1;
    bool m_is_large = false;
    instant m_now{1h};
    random_engine m_random{1};
};

using indices = std::set<std::size_t>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(placement_choices, placement_fixture)

BOOST_AUTO_TEST_CASE(upstreams_in_the_own_datacentre_come_first_and_do_not_queue_the_request)
{
    BOOST_TEST((chosen_options() == indices{0, 1, 2}));
    BOOST_TEST((decide()->m_queueing == queueing_permission::forbidden));
}

BOOST_AUTO_TEST_CASE(other_datacentres_are_used_while_the_own_one_is_busy)
{
    for (std::size_t index = 0; index < 3; ++index) {
        m_options[index].m_record.m_busy_until = m_now + 10ms;
    }
    BOOST_TEST((chosen_options() == indices{3, 4, 5}));
    m_now += 20ms;
    BOOST_TEST((chosen_options() == indices{0, 1, 2}));
}

BOOST_AUTO_TEST_CASE(after_five_refusals_the_request_queues_at_the_least_loaded_upstream)
{
    m_refusals = 5;
    for (auto& each : m_options) {
        each.m_was_tried = true;
        each.m_record.m_load = 1;
        each.m_record.m_load_updated_at = m_now;
    }
    m_options[4].m_record.m_load = 0.5;
    BOOST_TEST((chosen_options() == indices{4}));
    BOOST_TEST((decide()->m_queueing == queueing_permission::allowed));
}

BOOST_AUTO_TEST_CASE(an_upstream_of_unknown_load_is_not_taken_for_an_idle_one)
{
    m_refusals = 5;
    m_options[2].m_record.m_load = 1;
    m_options[2].m_record.m_load_updated_at = m_now;
    BOOST_TEST((chosen_options() == indices{2}));
    m_now += 2s;
    BOOST_TEST(chosen_options().size() > 1U); // The report is too old, so that any is as good.
}

BOOST_AUTO_TEST_CASE(an_upstream_that_failed_a_moment_ago_comes_after_others_of_its_data_centre)
{
    destination_records records;
    placement::record_open_circuit(records, {"host-0", "endpoint"}, m_now);
    m_options[0].m_record = placement::find_record(records, {"host-0", "endpoint"});
    m_now += 1s;
    BOOST_TEST((chosen_options() == indices{1, 2}));
    m_options[1].m_was_tried = true;
    m_options[2].m_was_tried = true;
    BOOST_TEST((chosen_options() == indices{0}));
    m_options[1].m_was_tried = false;
    m_now += 2s;
    BOOST_TEST((chosen_options() == indices{0, 1}));
}

BOOST_AUTO_TEST_CASE(after_three_gates_refused_to_queue_it_a_request_is_refused_at_once)
{
    m_refusals = 8;
    for (std::size_t index = 0; index < 3; ++index) {
        BOOST_TEST(decide().has_value());
        m_options[index].m_was_offered_queueing = true;
    }
    BOOST_TEST(!decide().has_value());
}

BOOST_AUTO_TEST_CASE(upstreams_with_an_open_circuit_get_only_what_no_other_takes)
{
    for (const std::size_t index : {0U, 1U, 2U, 3U, 4U}) {
        m_options[index].m_record.m_circuit_open_until = m_now + 1s;
    }
    BOOST_TEST((chosen_options() == indices{5}));
    m_options[5].m_was_tried = true;
    BOOST_TEST((decide()->m_option == 5));
    BOOST_TEST((decide()->m_circuit_breaker_mode == circuit_breaker_mode::enforce));
    m_options[5].m_was_offered_queueing = true;
    BOOST_TEST((chosen_options() == indices{0, 1, 2, 3, 4}));
    BOOST_TEST((decide()->m_circuit_breaker_mode == circuit_breaker_mode::bypass));
    for (auto& each : m_options) {
        each.m_was_offered_bypass = true;
    }
    BOOST_TEST(!decide().has_value());
}

BOOST_AUTO_TEST_CASE(large_answers_queue_in_the_own_datacentre_before_they_go_to_another)
{
    m_is_large = true;
    for (std::size_t index = 0; index < 3; ++index) {
        m_options[index].m_was_tried = true;
    }
    BOOST_TEST(*chosen_options().rbegin() < 3U);
    BOOST_TEST((decide()->m_queueing == queueing_permission::allowed));
    for (std::size_t index = 0; index < 3; ++index) {
        m_options[index].m_was_offered_queueing = true;
    }
    BOOST_TEST(*chosen_options().begin() >= 3U);
}

BOOST_AUTO_TEST_CASE(upstreams_that_may_have_run_the_request_or_are_unreachable_come_last)
{
    m_options[0].m_may_have_run_request = true;
    m_options[1].m_record.m_unreachable_until = m_now + 1s;
    BOOST_TEST((chosen_options() == indices{2}));
    m_options.resize(2);
    BOOST_TEST((chosen_options() == indices{1}));
    m_options.resize(1);
    BOOST_TEST((chosen_options() == indices{0}));
    m_options.clear();
    BOOST_TEST(!decide().has_value());
}

BOOST_AUTO_TEST_CASE(the_backoff_of_an_unreachable_gate_grows_until_it_answers)
{
    destination_records records;
    const upstream_id upstream{"host", "endpoint"};
    placement::record_unreachable(records, upstream, m_now);
    const auto first = placement::find_record(records, upstream).m_unreachable_until - m_now;
    placement::record_unreachable(records, upstream, m_now);
    BOOST_TEST((placement::find_record(records, upstream).m_unreachable_until - m_now > first));
    placement::record_answer(records, upstream);
    BOOST_TEST((placement::find_record(records, upstream).m_unreachable_until < m_now));
}

BOOST_AUTO_TEST_CASE(gates_with_recently_full_queues_get_only_more_urgent_requests_to_queue)
{
    m_refusals = 5;
    for (auto& each : m_options) {
        each.m_was_tried = true;
        each.m_record.m_full_until = m_now + 100ms;
        each.m_record.m_full_priority = 1;
    }
    BOOST_TEST(!decide().has_value());
    m_priority = 0;
    BOOST_TEST((decide()->m_queueing == queueing_permission::allowed));
    m_priority = 1;
    m_now += 200ms;
    BOOST_TEST((decide()->m_queueing == queueing_permission::allowed));
}

BOOST_AUTO_TEST_CASE(the_most_urgent_priority_among_recent_refusals_is_kept)
{
    destination_records records;
    const upstream_id upstream{"host-1", "endpoint"};
    placement::record_full_queue(records, upstream, placement::gate_datacentre::own, 1, m_now);
    placement::record_full_queue(records, upstream, placement::gate_datacentre::own, 2,
                                 m_now + 1ms);
    BOOST_TEST(placement::find_record(records, upstream).m_full_priority == 1U);
    placement::record_full_queue(records, upstream, placement::gate_datacentre::own, 2,
                                 m_now + 10s);
    BOOST_TEST(placement::find_record(records, upstream).m_full_priority == 2U);
}

/// Guards against an explained order that has options which no request reaches, or lacks some that
/// one does. Each simulated request is refused by every gate, without a report of its load.
BOOST_AUTO_TEST_CASE(the_asking_order_holds_the_options_that_refused_requests_reach)
{
    for (int state = 0; state < 200; ++state) {
        for (auto& each : m_options) {
            each.m_record = {};
            each.m_record.m_busy_until = m_now + (m_random(4) == 0 ? 1ms : -1ms);
            each.m_record.m_full_until = m_now + (m_random(4) == 0 ? 1ms : -1ms);
            each.m_record.m_circuit_open_until = m_now + (m_random(8) == 0 ? 1ms : -1ms);
            if (m_random(3) == 0) {
                each.m_record.m_load = m_random(6) / 4.0;
                each.m_record.m_load_updated_at = m_now;
            }
        }
        indices explained;
        for (const auto& step :
             placement::asking_order(m_options, {0, m_priority, m_is_large, m_now})) {
            explained.insert(step.m_options.begin(), step.m_options.end());
        }
        indices reached;
        for (int request = 0; request < 100; ++request) {
            auto asked = m_options;
            placement::decision_input input{0, m_priority, m_is_large, m_now};
            while (const auto chosen = placement::decide(asked, input, m_random)) {
                auto& each = asked[chosen->m_option];
                reached.insert(chosen->m_option);
                each.m_was_tried = true;
                each.m_was_offered_queueing = each.m_was_offered_queueing ||
                                              chosen->m_queueing == queueing_permission::allowed;
                each.m_was_offered_bypass =
                    each.m_was_offered_bypass ||
                    chosen->m_circuit_breaker_mode == circuit_breaker_mode::bypass;
                ++input.m_refusals;
            }
        }
        BOOST_TEST(explained == reached, boost::test_tools::per_element());
    }
}

BOOST_AUTO_TEST_SUITE_END()
