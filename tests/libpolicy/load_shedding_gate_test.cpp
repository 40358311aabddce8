// Checks that admission and the gate carry out the decisions of load shedding, and that
// `overload_policy::priority` decides as before.

#include "libbase/random_engine.h"
#include "libpolicy/admission/admission.h"
#include "libpolicy/gate/gate_answers.h"
#include "libpolicy/host_fixture.h"
#include "libwire/attempt_metadata.h"
#include "priority_reference.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace chivevane;
using namespace chivevane::test;
using load_shedding::shed_cause;

namespace {

const instant now{1h};

queued_attempt attempt_of(std::uint64_t number, std::string organisation, duration target,
                          duration run, std::uint32_t priority = 1)
{
    return {{{"ingress", 1}, number, 1},
            "e",
            std::move(organisation),
            now + 10s,
            now + target,
            run,
            priority};
}

/// Admission of one upstream with one slot, a mean run of 100 ms and one attempt that runs.
struct full_upstream {
    explicit full_upstream(overload_policy policy = overload_policy::least_cost)
    {
        m_state.m_overload = policy;
        admission::set_upstream(m_state, "e", 1, warm_up_state::warm,
                                admission::announced_run::new_run, now);
        admission::set_cold_bounds(m_state, "e", {1000, 1400});
        offer("first", 10s, 100ms);
        admission::release(m_state, "e", admission::run_result::good, 100ms, now);
        offer("first", 10s, 100ms);
    }

    admission::decision offer(std::string organisation, duration target, duration run,
                              std::uint32_t priority = 1)
    {
        return admission::offer(
            m_state, attempt_of(++m_last, std::move(organisation), target, run, priority), now);
    }

    admission_state m_state;
    std::uint64_t m_last = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(load_shedding_at_gates)

BOOST_AUTO_TEST_CASE(admission_refuses_a_queued_attempt_when_it_becomes_hopeless)
{
    full_upstream upstream;
    BOOST_TEST((upstream.offer("a", 1s, 200ms) == admission::decision::queued));
    BOOST_TEST(admission::take_shed(upstream.m_state, now + 799ms).empty());
    BOOST_TEST((admission::next_wakeup(upstream.m_state) <= now + 800ms));
    const auto shed = admission::take_shed(upstream.m_state, now + 800ms);
    BOOST_TEST_REQUIRE(shed.size() == 1U);
    BOOST_TEST((shed[0].m_cause == shed_cause::hopeless));
    BOOST_TEST(admission::load_of(upstream.m_state, "e").m_queued == 0U);
    BOOST_TEST((admission::next_wakeup(upstream.m_state) == instant::max()));
}

BOOST_AUTO_TEST_CASE(admission_wakes_up_no_later_than_the_latest_start_and_never_spins)
{
    full_upstream upstream;
    upstream.offer("a", 1s, 200ms);
    upstream.offer("b", 2s, 100ms);
    auto at = now;
    int wakeups = 0;
    while (admission::load_of(upstream.m_state, "e").m_queued > 0) {
        const auto next = admission::next_wakeup(upstream.m_state);
        BOOST_TEST_REQUIRE((next > at || wakeups == 0));
        at = std::max(at, next);
        admission::take_shed(upstream.m_state, at);
        BOOST_TEST_REQUIRE(++wakeups < 100);
    }
    BOOST_TEST((at == now + 1900ms));
}

BOOST_AUTO_TEST_CASE(admission_refuses_what_gives_way_to_a_newcomer)
{
    full_upstream upstream;
    BOOST_TEST((upstream.offer("a", 650ms, 200ms, 2) == admission::decision::queued));
    BOOST_TEST((upstream.offer("b", 1s, 250ms, 1) == admission::decision::queued));
    BOOST_TEST((upstream.offer("b", 2s, 250ms, 1) == admission::decision::queued));
    const auto shed = admission::take_shed(upstream.m_state, now);
    BOOST_TEST_REQUIRE(shed.size() == 1U);
    BOOST_TEST(shed[0].m_attempt.m_organisation == "a");
    BOOST_TEST((shed[0].m_cause == shed_cause::late));
    BOOST_TEST(upstream.m_state.m_shed_counts[1] == 1U);
    admission::release(upstream.m_state, "e", admission::run_result::good, 100ms, now);
    const auto started = admission::take_startable(upstream.m_state, now);
    BOOST_TEST_REQUIRE(started.size() == 1U);
    BOOST_TEST((started[0].m_target == now + 1s));
}

BOOST_AUTO_TEST_CASE(a_lower_concurrency_sheds_what_no_longer_fits)
{
    full_upstream upstream;
    admission::set_upstream(upstream.m_state, "e", 8, warm_up_state::warm,
                            admission::announced_run::known_run, now);
    for (int running = 1; running < 8; ++running) {
        upstream.offer("a", 1s, 100ms);
    }
    for (int count = 0; count < 30; ++count) {
        BOOST_TEST((upstream.offer("a", 900ms, 100ms) == admission::decision::queued));
    }
    BOOST_TEST(admission::take_shed(upstream.m_state, now + 50ms).empty());
    admission::set_upstream(upstream.m_state, "e", 1, warm_up_state::warm,
                            admission::announced_run::known_run, now + 60ms);
    const auto shed = admission::take_shed(upstream.m_state, now + 100ms);
    BOOST_TEST(shed.size() >= 22U);
    BOOST_TEST(admission::load_of(upstream.m_state, "e").m_queued <= 8U);
}

BOOST_AUTO_TEST_CASE(without_estimates_least_cost_decides_as_priority)
{
    for (const auto policy : {overload_policy::priority, overload_policy::least_cost}) {
        admission_state state;
        state.m_overload = policy;
        admission::set_upstream(state, "e", 1, warm_up_state::warm,
                                admission::announced_run::new_run, now);
        std::uint64_t number = 0;
        const auto offer = [&](duration target) {
            return admission::offer(state, attempt_of(++number, "a", target, {}), now);
        };
        BOOST_TEST((offer(1s) == admission::decision::started));
        BOOST_TEST((offer(9s) == admission::decision::queued));
        BOOST_TEST((offer(1s) == admission::decision::queued));
        BOOST_TEST(admission::take_shed(state, now + 2s).empty());
        BOOST_TEST(admission::take_expired(state, now + 2s).empty());
        admission::release(state, "e", admission::run_result::cancelled, 1s, now + 2s);
        BOOST_TEST((admission::take_startable(state, now + 2s).at(0).m_target == now + 9s));
    }
}

BOOST_AUTO_TEST_CASE(priority_sheds_none)
{
    full_upstream upstream{overload_policy::priority};
    upstream.offer("a", 650ms, 200ms, 2);
    upstream.offer("b", 1s, 250ms, 1);
    BOOST_TEST(admission::take_shed(upstream.m_state, now + 5s).empty());
    BOOST_TEST(admission::load_of(upstream.m_state, "e").m_queued == 2U);
}

BOOST_AUTO_TEST_CASE(priority_decides_as_before_load_shedding)
{
    // Any difference of a decision or of the order of starts is a change for deployments that do
    // not set `overload`.
    std::size_t queued = 0;
    std::size_t refused = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        random_engine random{seed};
        std::array<admission_state, 2> states;
        const bool is_learned = seed % 2 == 0;
        const auto slots = 1 + random(6);
        for (auto& state : states) {
            state.m_limit_basis = seed % 4 < 2 ? limit_basis::answers : limit_basis::announcement;
            admission::set_upstream(state, "e", slots, warm_up_state::warm,
                                    admission::announced_run::new_run, now);
            if (!is_learned) {
                admission::set_cold_bounds(state, "e", {200, 400});
            }
        }
        auto at = now;
        std::vector<attempt_id> running;
        const auto compare = [&](const auto& ours, const auto& theirs) {
            BOOST_TEST_REQUIRE(ours.size() == theirs.size());
            for (std::size_t index = 0; index < ours.size(); ++index) {
                BOOST_TEST_REQUIRE((ours[index].m_attempt == theirs[index].m_attempt));
            }
        };
        for (std::uint64_t step = 1; step <= 2000; ++step) {
            at += duration{random(20'000)};
            if (random(5) < 3) {
                const auto organisation = random(5);
                queued_attempt attempt{{{"ingress", 1}, step, 1},
                                       "e",
                                       organisation == 0 ? "" : fmt::format("org-{}", organisation),
                                       at + duration{random(3'000'000)},
                                       at + duration{random(1'500'000)},
                                       duration{random(2) * random(200'000)},
                                       random(3)};
                if (random(4) == 0) {
                    attempt.m_queueing = queueing_permission::forbidden;
                }
                const auto ours = admission::offer(states[0], attempt, at);
                const auto theirs = priority_reference::offer(states[1], attempt, at);
                BOOST_TEST_REQUIRE((ours == theirs));
                queued += ours == admission::decision::queued ? 1 : 0;
                refused += ours == admission::decision::refused ? 1 : 0;
                if (ours == admission::decision::started) {
                    running.push_back(attempt.m_attempt);
                }
            }
            else if (!running.empty()) {
                running.pop_back();
                const auto result = random(50) == 0 ? admission::run_result::load_refused
                                                    : admission::run_result::good;
                const duration latency{20'000 + random(100'000)};
                admission::release(states[0], "e", result, latency, at);
                priority_reference::release(states[1], "e", result, latency, at);
            }
            compare(admission::take_expired(states[0], at),
                    priority_reference::take_expired(states[1], at));
            BOOST_TEST_REQUIRE(admission::take_shed(states[0], at).empty());
            const auto started = admission::take_startable(states[0], at);
            compare(started, priority_reference::take_startable(states[1], at));
            for (const auto& each : started) {
                running.push_back(each.m_attempt);
            }
        }
    }
    BOOST_TEST_MESSAGE("compared with the decisions before load shedding: "
                       << queued << " queued, " << refused << " refused");
    BOOST_TEST(queued > 1000U);
    BOOST_TEST(refused > 1000U);
}

namespace {

/// Gate with one upstream of one slot, whose run times are known.
struct gate_fixture : host_fixture {
    gate_fixture()
    {
        load_sample_document();
        announce("permits-1", "permits");
        feed(datagram_received{
            m_peer, 1, {}, host_record{m_peer, "marsh", {"127.0.1.2", 7001, 7002, 7003, 7004}}});
        m_host_state.m_settings.m_overload = overload_policy::least_cost;
        m_host_state.m_settings.m_placement = placement_mode::probing;
        auto& upstream = m_host_state.m_admission.m_upstreams.at("permits-1");
        upstream.m_mean_run_s = 0.1;
        admission::set_slots(upstream.m_limit, 1);
    }

    effect_list send(std::uint32_t priority, duration target)
    {
        const attempt_id id{m_peer, ++m_last, 1};
        attempt_metadata metadata{id,      1, "permits-1", "permits", "permits", "blackmorass",
                                  "parish"};
        metadata.m_timeout_left = 2s;
        metadata.m_latency_target_left =
            std::chrono::duration_cast<std::chrono::milliseconds>(target);
        metadata.m_revision = 1;
        metadata.m_gate_clock = gate::clock_reading(m_now);
        metadata.m_priority = priority;
        request_head head{"POST", "/permits", {{"Host", "a"}}};
        add_attempt_metadata(head, metadata, 0, "secret");
        return feed(inbound_request{++m_exchange, listener_kind::gate, head, 0, 0});
    }

    host_identity m_peer{"marsh-2", 1};
    std::uint64_t m_last = 0;
    exchange_id m_exchange = 100;
};

void check_shed(const effect_list& effects, std::string_view cause)
{
    const auto answers = effects_of_type<respond>(effects);
    BOOST_TEST_REQUIRE(answers.size() == 1U);
    const auto& head = answers[0].m_head;
    BOOST_TEST(head.m_status == 503);
    BOOST_TEST(find_field(head.m_fields, execution_status_field).value_or("") == "not-run");
    BOOST_TEST(find_field(head.m_fields, reason_field).value_or("") == "overloaded");
    BOOST_TEST(find_field(head.m_fields, load_field).has_value());
    const auto events = effects_of_type<record_event>(effects);
    const auto logged = std::find_if(events.begin(), events.end(), [](const auto& event) {
        return event.m_name == "attempt-shed";
    });
    BOOST_TEST_REQUIRE((logged != events.end()));
    BOOST_TEST(
        std::any_of(logged->m_fields.begin(), logged->m_fields.end(), [cause](const auto& field) {
            return field.m_key == "cause" && field.m_value == cause;
        }));
}

} // namespace

BOOST_FIXTURE_TEST_CASE(a_gate_refuses_what_gives_way_to_an_urgent_newcomer, gate_fixture)
{
    BOOST_TEST(effects_of_type<start_transfer>(send(1, 1s)).size() == 1U);
    BOOST_TEST(effects_of_type<respond>(send(2, 320ms)).empty()); // It is queued.
    BOOST_TEST(effects_of_type<respond>(send(1, 1s)).empty());
    BOOST_TEST(effects_of_type<respond>(send(1, 1s)).empty());
    check_shed(send(1, 2s), "late"); // 300 ms before it and 100 ms for itself.
}

BOOST_FIXTURE_TEST_CASE(a_gate_refuses_a_queued_attempt_once_it_is_hopeless, gate_fixture)
{
    BOOST_TEST(effects_of_type<start_transfer>(send(1, 1s)).size() == 1U);
    BOOST_TEST(effects_of_type<respond>(send(1, 1s)).empty()); // It is queued.
    const auto at = next_wakeup(m_host_state);
    BOOST_TEST((at <= m_now + 900ms));
    BOOST_TEST(effects_of_type<respond>(advance(890ms)).empty());
    check_shed(advance(10ms), "hopeless");
}

BOOST_AUTO_TEST_SUITE_END()
