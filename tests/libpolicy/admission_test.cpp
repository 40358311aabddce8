#include "libpolicy/admission/admission.h"
#include "libpolicy/admission/least_cost.h"

#include "libbase/random_engine.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <queue>
#include <vector>

using namespace chivevane;

BOOST_AUTO_TEST_SUITE(gate_admission)

namespace {

/// Admission policy of the model. `all_slots` is the naive one that always uses every slot.
enum class gate_policy : std::uint8_t { adaptive, all_slots };

/// Upstream that runs one request at once when cold and four when warm. It warms up with each good
/// answer. More requests than that make it slow and colder again.
struct cold_upstream {
    double m_warmth = 0; ///< From 0, cold, to 1, warm.
    std::uint32_t m_running = 0;

    /// Requests that the upstream can run at once.
    double capacity() const { return 1 + 3 * m_warmth; }
};

/// Simulation of organisations that send requests to one gate.
struct gate_model {
    struct sender {
        double m_rate = 0; ///< Requests per second.
        std::uint64_t m_sent = 0;
        std::vector<duration> m_answered{}; ///< Times from arrival to the answer.
    };

    explicit gate_model(std::uint64_t seed, const std::vector<double>& rates) : m_random{seed}
    {
        admission::set_upstream(m_state, "e", 4, warm_up_state::cold,
                                admission::announced_run::new_run, m_now);
        for (const auto rate : rates) {
            const auto index = m_senders.size();
            m_senders.push_back({rate});
            at(m_now, [this, index] { send(index); });
        }
    }

    void run_for(duration length)
    {
        const auto end = m_now + length;
        while (!m_events.empty() && m_events.begin()->first <= end) {
            const auto [when, action] = *m_events.begin();
            m_events.erase(m_events.begin());
            m_now = when;
            action();
            process_queue();
        }
        m_now = end;
    }

    void at(instant when, const std::function<void()>& action) { m_events.emplace(when, action); }

    double exponential() { return -std::log(1 - uniform_fraction(m_random)); }

    void send(std::size_t index)
    {
        auto& from = m_senders[index];
        ++from.m_sent;
        const attempt_id id{{"ingress", 1}, ++m_last_request, 1};
        const queued_attempt offered{id, "e", fmt::format("org-{}", index), m_now + m_timeout};
        m_pending[id] = {index, m_now};
        if (m_policy == gate_policy::all_slots) {
            m_pending[id].second = m_now;
            m_cold.m_running < 4 ? start(id) : refuse(id);
        }
        else {
            switch (admission::offer(m_state, offered, m_now)) {
            case admission::decision::started:
                start(id);
                break;
            case admission::decision::queued:
                break;
            case admission::decision::refused:
                refuse(id);
                break;
            }
        }
        at(m_now + from_seconds(exponential() / from.m_rate), [this, index] { send(index); });
    }

    void refuse(const attempt_id& id)
    {
        m_pending.erase(id);
        ++m_refused;
    }

    void start(const attempt_id& id)
    {
        const auto pending = m_pending.at(id);
        m_pending.erase(id);
        ++m_cold.m_running;
        const bool is_overloaded = m_is_cold_model && m_cold.m_running > m_cold.capacity() + 1e-9;
        m_overloaded_starts += is_overloaded ? 1 : 0;
        ++m_starts;
        if (is_overloaded) {
            m_cold.m_warmth = std::max(0.0, m_cold.m_warmth - 0.1);
        }
        const auto latency =
            from_seconds(0.02 * (is_overloaded ? 20 : 1) * std::exp(0.3 * normal()));
        at(m_now + latency, [this, pending, latency, is_overloaded] {
            --m_cold.m_running;
            const auto result = is_overloaded && uniform_fraction(m_random) < 0.5
                                    ? admission::run_result::load_refused
                                    : admission::run_result::good;
            if (!is_overloaded) {
                m_cold.m_warmth = std::min(1.0, m_cold.m_warmth + 0.002);
            }
            admission::release(m_state, "e", result, latency, m_now);
            if (result == admission::run_result::good) {
                m_senders[pending.first].m_answered.push_back(m_now - pending.second);
            }
        });
    }

    void process_queue()
    {
        for (const auto& expired : admission::take_expired(m_state, m_now)) {
            refuse(expired.m_attempt);
        }
        for (const auto& waiting : admission::take_startable(m_state, m_now)) {
            start(waiting.m_attempt);
        }
        if (const auto next = admission::next_wakeup(m_state);
            next > m_now && next < instant::max() && next != m_wakeup) {
            m_wakeup = next;
            at(next, [] {});
        }
    }

    double normal()
    {
        return std::sqrt(2 * exponential()) * std::cos(6.283185307 * uniform_fraction(m_random));
    }

    std::uint64_t answered() const
    {
        std::uint64_t sum = 0;
        for (const auto& from : m_senders) {
            sum += from.m_answered.size();
        }
        return sum;
    }

    random_engine m_random;
    admission_state m_state;
    gate_policy m_policy = gate_policy::adaptive;
    bool m_is_cold_model = false;
    cold_upstream m_cold;
    std::vector<sender> m_senders;
    std::multimap<instant, std::function<void()>> m_events;
    std::map<attempt_id, std::pair<std::size_t, instant>> m_pending;
    std::uint64_t m_last_request = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_overloaded_starts = 0;
    std::uint64_t m_starts = 0;
    duration m_timeout = 1s;
    instant m_now{1h};
    instant m_wakeup;
};

duration p99(std::vector<duration> values)
{
    std::sort(values.begin(), values.end());
    return values.at(values.size() * 99 / 100);
}

queued_attempt attempt_of(std::uint64_t number, std::string organisation, instant deadline)
{
    return {{{"ingress", 1}, number, 1}, "e", std::move(organisation), deadline};
}

} // namespace

BOOST_AUTO_TEST_CASE(a_flood_from_one_organisation_leaves_the_others_their_share)
{
    // Eight organisations use three quarters of the capacity. In a second run, one of them sends
    // ten times as much.
    const std::vector<double> calm(8, 18.0);
    auto flooded = calm;
    flooded[0] *= 10;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        gate_model without{seed, calm};
        gate_model with{seed, flooded};
        for (auto* each : {&without, &with}) {
            each->run_for(10s); // The upstream is warm after this time.
            for (auto& from : each->m_senders) {
                from = {from.m_rate};
            }
            each->run_for(120s);
        }
        double worst_share = 1;
        double worst_delay = 0;
        for (std::size_t index = 1; index < calm.size(); ++index) {
            const auto& before = without.m_senders[index];
            const auto& after = with.m_senders[index];
            const auto share_before =
                static_cast<double>(before.m_answered.size()) / static_cast<double>(before.m_sent);
            const auto share_after =
                static_cast<double>(after.m_answered.size()) / static_cast<double>(after.m_sent);
            worst_share = std::min(worst_share, share_after / share_before);
            worst_delay = std::max(worst_delay, to_seconds(p99(after.m_answered)) /
                                                    to_seconds(p99(before.m_answered)));
        }
        BOOST_TEST_MESSAGE("flood, seed " << seed << ": worst share " << worst_share
                                          << ", worst p99 ratio " << worst_delay);
        BOOST_TEST(worst_share >= 0.95);
        BOOST_TEST(worst_delay <= 1.5);
    }
}

BOOST_AUTO_TEST_CASE(a_cold_upstream_warms_up_under_the_load_of_a_whole_fleet)
{
    // 34 hosts send the load of 34 warm upstreams to a single cold one.
    const std::vector<double> fleet(34, 6.0);
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        gate_model model{seed, fleet};
        gate_model naive{seed, fleet};
        naive.m_policy = gate_policy::all_slots;
        for (auto* each : {&model, &naive}) {
            each->m_is_cold_model = true;
            each->run_for(60s);
        }
        const auto before = model.answered();
        model.run_for(10s);
        const auto warm_rate = static_cast<double>(model.answered() - before) / 10;
        BOOST_TEST_MESSAGE("cold start, seed "
                           << seed << ": " << model.m_overloaded_starts << " of " << model.m_starts
                           << " starts above the capacity, " << warm_rate
                           << " answers/s in the end; naive " << naive.m_overloaded_starts << " of "
                           << naive.m_starts);
        BOOST_TEST(static_cast<double>(model.m_overloaded_starts) <
                   0.01 * static_cast<double>(model.m_starts));
        BOOST_TEST(warm_rate > 120);
        BOOST_TEST(naive.m_overloaded_starts > naive.m_starts / 2);
    }
}

BOOST_AUTO_TEST_CASE(concurrency_drops_to_one_when_a_warm_upstream_becomes_cold)
{
    gate_model model{7, std::vector<double>(8, 30.0)};
    model.m_is_cold_model = true;
    model.run_for(60s);
    BOOST_TEST(admission::load_of(model.m_state, "e").m_concurrency == 4U);
    model.m_cold.m_warmth = 0;
    std::uint32_t least = 4;
    for (int step = 0; step < 20; ++step) {
        model.run_for(50ms);
        least = std::min(least, admission::load_of(model.m_state, "e").m_concurrency);
    }
    BOOST_TEST(least == 1U);
    model.run_for(60s);
    BOOST_TEST(admission::load_of(model.m_state, "e").m_concurrency == 4U);
}

BOOST_AUTO_TEST_CASE(the_queue_is_fair_and_bounded_and_enforces_deadlines)
{
    const instant now{1h};
    admission_state state;
    admission::set_upstream(state, "e", 1, warm_up_state::warm, admission::announced_run::new_run,
                            now);
    std::uint64_t number = 0;
    const auto offer = [&](std::string organisation, duration timeout) {
        return admission::offer(state, attempt_of(++number, std::move(organisation), now + timeout),
                                now);
    };
    BOOST_TEST((offer("a", 1s) == admission::decision::started));
    std::size_t queued = 0;
    while (offer("a", 1s) == admission::decision::queued) {
        ++queued;
    }
    BOOST_TEST(queued <= 16U);
    BOOST_TEST((offer("b", 1s) == admission::decision::queued));
    BOOST_TEST((offer("a", 1s) == admission::decision::refused));

    // The attempt of "b" is next although many of "a" were queued before it.
    admission::release(state, "e", admission::run_result::good, 10ms, now);
    BOOST_TEST(admission::take_startable(state, now).at(0).m_organisation == "b");

    // Once the latency is known, an attempt that cannot be answered in time is refused at once.
    for (int answer = 0; answer < 10; ++answer) {
        admission::release(state, "e", admission::run_result::good, 10ms, now + 1s);
        admission::take_startable(state, now + 1s);
    }
    const auto late = attempt_of(++number, "c", now + 1s + 5ms);
    BOOST_TEST((admission::offer(state, late, now + 1s) == admission::decision::refused));
    const auto waiting = admission::load_of(state, "e").m_queued;
    BOOST_TEST(admission::take_expired(state, now + 1s).size() == waiting);
    BOOST_TEST((admission::next_wakeup(state) == instant::max()));
}

namespace {

/// Gate whose upstream has no free slot.
struct busy_gate {
    busy_gate()
    {
        admission::set_upstream(m_state, "e", 4, warm_up_state::warm,
                                admission::announced_run::new_run, m_now);
        admission::set_cold_bounds(m_state, "e", {1000, 1000});
        for (int running = 0; running < 4; ++running) {
            offer("document/first", 0);
        }
    }

    admission::decision offer(std::string organisation, std::uint32_t priority)
    {
        return admission::offer(m_state,
                                {{{"ingress", 1}, ++m_last_request, 1},
                                 "e",
                                 std::move(organisation),
                                 m_now + 10s,
                                 m_now + 10s,
                                 {},
                                 priority},
                                m_now);
    }

    std::size_t queued_of(std::size_t offered, const std::string& organisation,
                          std::uint32_t priority)
    {
        std::size_t queued = 0;
        for (std::size_t count = 0; count < offered; ++count) {
            queued += offer(organisation, priority) == admission::decision::queued ? 1 : 0;
        }
        return queued;
    }

    instant m_now{1h};
    admission_state m_state;
    std::uint64_t m_last_request = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(less_urgent_organisations_do_not_reduce_the_queue_share_of_urgent_ones)
{
    busy_gate gate;
    for (int organisation = 0; organisation < 15; ++organisation) {
        gate.offer(fmt::format("document/{}", organisation), 2);
    }
    BOOST_TEST(gate.queued_of(40, "document/urgent", 1) == 40U);
}

BOOST_AUTO_TEST_CASE(attempts_without_an_organisation_may_use_the_whole_queue)
{
    busy_gate gate;
    for (int organisation = 0; organisation < 15; ++organisation) {
        gate.offer(fmt::format("document/{}", organisation), 1);
    }
    BOOST_TEST(gate.queued_of(40, "", 1) == 40U);
    BOOST_TEST(gate.queued_of(40, "document/flood", 1) <= 4U);
}

BOOST_AUTO_TEST_CASE(attempts_without_an_organisation_are_served_in_turn_with_organisations)
{
    busy_gate gate;
    for (int round = 0; round < 30; ++round) {
        gate.offer("", 1);
        gate.offer("document/parish", 1);
    }
    std::size_t without = 0;
    for (int end = 0; end < 20; ++end) {
        gate.m_now += 10ms;
        admission::release(gate.m_state, "e", admission::run_result::good, 10ms, gate.m_now);
        for (const auto& next : admission::take_startable(gate.m_state, gate.m_now)) {
            without += next.m_organisation.empty() ? 1 : 0;
        }
    }
    BOOST_TEST(without >= 10U);
}

BOOST_AUTO_TEST_CASE(less_urgent_attempts_leave_slots_to_urgent_ones_that_were_refused)
{
    admission_state state;
    instant now{1h};
    admission::set_upstream(state, "e", 4, warm_up_state::warm, admission::announced_run::new_run,
                            now);
    admission::set_cold_bounds(state, "e", {1000, 1400});
    std::uint64_t last = 0;
    const auto offer = [&](std::uint32_t priority, duration target) {
        return admission::offer(state,
                                {{{"ingress", 1}, ++last, 1},
                                 "e",
                                 "",
                                 now + 10s,
                                 now + target,
                                 100ms,
                                 priority,
                                 queueing_permission::allowed},
                                now);
    };
    for (int running = 0; running < 4; ++running) {
        BOOST_TEST((offer(0, 1s) == admission::decision::started));
    }
    BOOST_TEST((offer(0, 10ms) == admission::decision::refused));
    admission::release(state, "e", admission::run_result::good, 100ms, now);
    BOOST_TEST((offer(16, 5s) == admission::decision::queued));
    BOOST_TEST(admission::take_startable(state, now).empty());
    BOOST_TEST((admission::next_wakeup(state) > now)); // The host does not spin meanwhile.
    BOOST_TEST((offer(0, 1s) == admission::decision::started));
    admission::release(state, "e", admission::run_result::good, 100ms, now);
    now += 2s;
    BOOST_TEST(admission::take_startable(state, now).size() == 1U);
}

// Guards against a change of the learnt limit that changes upstreams whose start rate is
// configured.
BOOST_AUTO_TEST_CASE(a_refusal_pauses_starts_where_a_start_rate_is_configured)
{
    busy_gate gate;
    gate.offer("document/first", 0);
    gate.m_now += 1s;
    admission::release(gate.m_state, "e", admission::run_result::load_refused, 1ms, gate.m_now);
    BOOST_TEST(admission::take_startable(gate.m_state, gate.m_now + 199ms).empty());
    BOOST_TEST(admission::take_startable(gate.m_state, gate.m_now + 200ms).size() == 1U);
    BOOST_TEST(admission::load_of(gate.m_state, "e").m_concurrency == 4U);
}

// Guards against a warm upstream without a start rate that is used slot by slot.
BOOST_AUTO_TEST_CASE(by_announcement_a_warm_upstream_is_used_up_to_its_slots)
{
    const instant now{1h};
    admission_state state;
    state.m_limit_basis = limit_basis::announcement;
    admission::set_upstream(state, "e", 11, warm_up_state::cold, admission::announced_run::new_run,
                            now);
    BOOST_TEST(admission::load_of(state, "e").m_concurrency == 1U);
    admission::set_upstream(state, "e", 11, warm_up_state::warm,
                            admission::announced_run::known_run, now + 3s);
    BOOST_TEST(admission::load_of(state, "e").m_concurrency == 11U);
}

// Guards against a deployment with start rates whose queues are ordered in another way than before.
BOOST_AUTO_TEST_CASE(least_cost_if_learned_leaves_upstreams_with_a_start_rate_as_they_were)
{
    admission_state state;
    state.m_overload = overload_policy::least_cost_if_learned;
    upstream_admission upstream;
    upstream.m_mean_run_s = 0.5;
    BOOST_TEST(admission::uses_least_cost(state, upstream));
    upstream.m_cold_bounds = {4, 6};
    BOOST_TEST(!admission::uses_least_cost(state, upstream));
    state.m_overload = overload_policy::least_cost;
    BOOST_TEST(admission::uses_least_cost(state, upstream));
}

BOOST_AUTO_TEST_SUITE_END()
