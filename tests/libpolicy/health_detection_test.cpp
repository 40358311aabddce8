#include "libpolicy/count_from_environment.h"
#include "libpolicy/fleet_model.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <string>

using namespace chivevane;
using namespace chivevane::test;

BOOST_AUTO_TEST_SUITE(health_detection)

namespace {

std::uint64_t seeds(std::uint64_t ordinary)
{
    return count_from_environment("CHIVEVANE_SEEDS", ordinary);
}

std::string text_of(duration time)
{
    return time == fleet_model::none ? "never" : std::to_string(to_seconds(time)) + " s";
}

struct detection_case {
    std::string m_name;
    upstream_fault m_fault;
    duration m_flap_period{};
};

const std::vector<detection_case> fault_cases{
    {"5 times slower", {5}},
    {"30% stuck", {1, 0, 0.3}},
    {"failing 100%", {1, 1}},
    {"failing 30%", {1, 0.3}},
    {"failing 10%", {1, 0.1}},
    {"wrong 30%", {1, 0, 0, 0.3}},
    {"failing 50%, 3 s in 6 s", {1, 0.5}, 3s},
};

struct detection_figures {
    std::vector<duration> m_detection_times;
    std::uint64_t m_missed = 0;          ///< Runs without detection.
    std::uint64_t m_false_ejections = 0; ///< Ejections of upstreams without fault.
};

duration quantile(std::vector<duration> values, double share)
{
    std::sort(values.begin(), values.end());
    const auto rank = std::ceil(share * static_cast<double>(values.size()));
    return values.at(static_cast<std::size_t>(rank) - 1);
}

detection_figures measure_detection(const fleet_shape& shape, const detection_case& each,
                                    std::uint64_t seed_count, duration observation_time)
{
    detection_figures figures;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        fleet_model model{shape, seed};
        model.run_for(5s);
        auto& faulty = model.m_upstreams[0];
        faulty.m_fault = each.m_fault;
        faulty.m_flap_period = each.m_flap_period;
        faulty.m_faulty_from = model.m_now;
        model.run_for(observation_time);
        const auto time = model.detection_time(0, faulty.m_faulty_from);
        figures.m_missed += time == fleet_model::none ? 1 : 0;
        figures.m_detection_times.push_back(time);
        const auto true_ejections = model.m_tally.m_ejected[faulty.m_id.m_endpoint].size();
        figures.m_false_ejections += model.m_tally.m_ejections - true_ejections;
    }
    return figures;
}

void report(const fleet_shape& shape, const detection_case& each, const detection_figures& figures)
{
    BOOST_TEST_MESSAGE(
        each.m_name << ", " << shape.m_upstreams << " upstreams, "
                    << (shape.m_policy == model_policy::naive ? "naive" : "pooled") << ": median "
                    << text_of(quantile(figures.m_detection_times, 0.5)) << ", p99 "
                    << text_of(quantile(figures.m_detection_times, 0.99)) << ", missed "
                    << figures.m_missed << " of " << figures.m_detection_times.size()
                    << ", false ejections " << figures.m_false_ejections);
}

} // namespace

BOOST_AUTO_TEST_CASE(clearly_unhealthy_upstreams_are_ejected_in_time)
{
    for (const std::size_t upstreams : {10, 6}) {
        fleet_shape shape;
        shape.m_upstreams = upstreams;
        shape.m_requests_per_second = 60.0 * static_cast<double>(upstreams);
        for (const auto& each : fault_cases) {
            const auto figures = measure_detection(shape, each, seeds(3), 6s);
            report(shape, each, figures);
            BOOST_TEST((quantile(figures.m_detection_times, 0.5) < 2s));
            BOOST_TEST((quantile(figures.m_detection_times, 0.99) < 5s));
            BOOST_TEST(figures.m_false_ejections == 0);
            shape.m_policy = model_policy::naive;
            report(shape, each, measure_detection(shape, each, seeds(1), 6s));
            shape.m_policy = model_policy::pooled;
        }
    }
}

BOOST_AUTO_TEST_CASE(an_unhealthy_upstream_is_ejected_after_few_requests_at_a_low_rate)
{
    constexpr std::uint64_t requests_to_find = 20;
    fleet_shape shape;
    shape.m_requests_per_second = 1;
    for (const auto& each : {fault_cases[0], fault_cases[2], fault_cases[3]}) {
        std::vector<std::uint64_t> needed;
        for (std::uint64_t seed = 1; seed <= seeds(5); ++seed) {
            fleet_model model{shape, seed};
            model.run_for(5min);
            model.m_upstreams[0].m_fault = each.m_fault;
            model.m_upstreams[0].m_faulty_from = model.m_now;
            const auto before = model.m_tally.m_started[0];
            for (int step = 0; step < 600; ++step) {
                model.run_for(1s);
                if (model.detection_time(0, model.m_upstreams[0].m_faulty_from) !=
                    fleet_model::none) {
                    break;
                }
            }
            needed.push_back(model.m_tally.m_started[0] - before);
        }
        std::sort(needed.begin(), needed.end());
        BOOST_TEST_MESSAGE(each.m_name << ", 1 request/s: median " << needed[needed.size() / 2]
                                       << " requests, most " << needed.back());
        BOOST_TEST(needed[needed.size() / 2] <= requests_to_find);
    }
}

BOOST_AUTO_TEST_CASE(a_fault_of_all_upstreams_at_once_ejects_none)
{
    for (const double rate : {1.0, 400.0}) {
        for (const auto& each : {fault_cases[0], fault_cases[2], fault_cases[3]}) {
            fleet_shape shape;
            shape.m_requests_per_second = rate;
            for (std::uint64_t seed = 1; seed <= seeds(2); ++seed) {
                fleet_model model{shape, seed};
                model.run_for(rate > 1 ? 10s : 300s);
                for (auto& upstream : model.m_upstreams) {
                    upstream.m_fault = each.m_fault;
                    upstream.m_faulty_from = model.m_now;
                }
                model.run_for(rate > 1 ? 20s : 400s);
                BOOST_TEST(model.m_tally.m_ejections == 0,
                           each.m_name << " at " << rate << "/s, seed " << seed << ": "
                                       << model.m_tally.m_ejections << " ejections");
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(ordinary_noise_ejects_no_upstream)
{
    const std::chrono::minutes length{count_from_environment("CHIVEVANE_NOISE_MINUTES", 1)};
    for (const std::size_t upstreams : {10, 6}) {
        for (std::uint64_t seed = 1; seed <= seeds(2); ++seed) {
            fleet_shape shape;
            shape.m_upstreams = upstreams;
            shape.m_requests_per_second = 30.0 * static_cast<double>(upstreams);
            fleet_model model{shape, seed};
            model.run_for(length);
            BOOST_TEST(model.m_tally.m_ejections == 0,
                       "seed " << seed << ", " << upstreams
                               << " upstreams: " << model.m_tally.m_ejections);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
