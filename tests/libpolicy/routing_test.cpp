#include "libpolicy/fleet_model.h"

#include <boost/test/unit_test.hpp>
#include <numeric>

using namespace chivevane;
using namespace chivevane::test;

BOOST_AUTO_TEST_SUITE(routing_choices)

namespace {

/// Counts which upstreams host 0 chooses while no requests run in the model.
struct choice_model : fleet_model {
    explicit choice_model(const fleet_shape& shape) : fleet_model{shape, 1} {}

    /// Chooses `times` times and returns how often each upstream was chosen.
    std::vector<std::size_t> choose(std::size_t times, routing::idempotency request_idempotency,
                                    std::vector<upstream_id> tried = {})
    {
        std::vector<std::size_t> counts(m_upstreams.size());
        auto& host = m_hosts[0];
        effect_list effects;
        reducer_context context{m_now, 0, host.m_settings, host.m_random, host.m_last_id, effects};
        for (std::size_t round = 0; round < times; ++round) {
            const auto chosen =
                routing::choose_upstream(context, m_members, host.m_health, m_configuration,
                                         {"tides", request_idempotency, tried});
            ++counts.at(std::stoul(chosen->m_upstream.m_host.substr(5)));
        }
        return counts;
    }

    upstream_summary& summary(std::size_t index)
    {
        return m_members.m_members.at(m_upstreams[index].m_id.m_host).m_record.m_upstreams.at(0);
    }

    health::ejection_state& ejection_state_of(std::size_t index)
    {
        auto& record = m_hosts[0].m_health.m_upstreams[m_upstreams[index].m_id];
        record.m_service = "tides";
        return record.m_ejection;
    }
};

constexpr auto idempotent = routing::idempotency::idempotent;
constexpr auto not_idempotent = routing::idempotency::not_idempotent;

fleet_shape idle_fleet_shape()
{
    fleet_shape shape;
    shape.m_hosts = 34;
    return shape;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_upstream_on_trial_gets_idempotent_requests_only)
{
    choice_model model{idle_fleet_shape()};
    model.ejection_state_of(1).m_status = health::health_status::trial;
    model.ejection_state_of(1).m_since = model.m_now;
    BOOST_TEST(model.choose(2000, not_idempotent)[1] == 0U);
    BOOST_TEST(model.choose(2000, idempotent)[1] > 0U);
}

BOOST_AUTO_TEST_CASE(choices_follow_capacity_queue_length_and_datacentre)
{
    choice_model model{idle_fleet_shape()};
    for (std::size_t index = 0; index < 10; ++index) {
        model.summary(index).m_concurrency = index == 1 ? 1 : 4;
    }
    auto counts = model.choose(20000, idempotent);
    BOOST_TEST(counts[1] * 3 < counts[2]); // A cold upstream gets as much as its gate admits.
    BOOST_TEST(counts[3] > counts[2]);     // The own data centre is preferred,
    BOOST_TEST(counts[3] < counts[2] * 2); // but only slightly.
    model.summary(3).m_queued = 8;
    BOOST_TEST(model.choose(20000, idempotent)[3] < counts[2]);
}

BOOST_AUTO_TEST_CASE(tried_draining_leaving_and_withdrawn_upstreams_are_skipped)
{
    choice_model model{idle_fleet_shape()};
    model.summary(1).m_phase = upstream_phase::draining;
    model.m_members.m_members.at("host-2").m_status = member_status::leaving;
    model.m_document.m_datacentres_out = {"dc-0"};
    model.apply_rules();
    const auto counts = model.choose(2000, not_idempotent, {model.m_upstreams[4].m_id});
    for (const std::size_t index : {0, 1, 2, 3, 4, 6, 9}) {
        BOOST_TEST(counts[index] == 0U);
    }
    std::vector<upstream_id> all;
    for (const auto& upstream : model.m_upstreams) {
        all.push_back(upstream.m_id);
    }
    BOOST_TEST(model.choose(100, not_idempotent, all)[4] > 0U); // Tried again if no other is left.
}

BOOST_AUTO_TEST_CASE(latency_and_refusals_under_load_do_not_exceed_those_of_random_choice)
{
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        std::vector<double> mean_s;
        std::vector<std::uint64_t> refused;
        for (const auto policy : {model_policy::pooled, model_policy::naive}) {
            fleet_shape shape;
            shape.m_hosts = 34;
            shape.m_requests_per_second = 900;
            shape.m_policy = policy;
            fleet_model model{shape, seed};
            model.run_for(10s);
            model.m_tally.m_latencies.clear();
            model.m_tally.m_refused = 0;
            model.run_for(20s);
            const auto& latencies = model.m_tally.m_latencies;
            mean_s.push_back(
                to_seconds(std::accumulate(latencies.begin(), latencies.end(), duration{})) /
                static_cast<double>(latencies.size()));
            refused.push_back(model.m_tally.m_refused);
        }
        BOOST_TEST_MESSAGE("34 hosts, 900/s, seed " << seed << ": mean " << mean_s[0] << " s, "
                                                    << refused[0] << " refused; random "
                                                    << mean_s[1] << " s, " << refused[1]
                                                    << " refused");
        BOOST_TEST((mean_s[0] <= mean_s[1]));
        BOOST_TEST(refused[0] <= refused[1]);
    }
}

BOOST_AUTO_TEST_SUITE_END()
