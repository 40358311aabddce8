// Plays load on a service of several hundred upstreams, a part of which fails, and checks what
// callers get.

#include "libpolicy/large_service_model.h"

#include <boost/test/unit_test.hpp>

using namespace chivevane;
using namespace chivevane::test;

namespace {

/// A simple proxy: any gate at random, which may queue the request.
std::optional<placement::decision> choose_at_random(const option_list& choices,
                                                    const placement::decision_input&,
                                                    random_engine& engine)
{
    return placement::decision{engine(static_cast<std::uint32_t>(choices.size())),
                               queueing_permission::allowed};
}

outcome_counts play(placement_policy policy, double load)
{
    const service_shape shape;
    large_service_model model{shape, std::move(policy)};
    model.run_load(shape.capacity() * load, 3s, [&model] {
        model.place({model.m_now, model.random_ingress()});
    });
    BOOST_TEST_MESSAGE("load " << load << ": in target " << model.m_counts.share_in_target()
                               << ", refused " << model.m_counts.m_refused << " of "
                               << model.m_counts.m_asked << ", attempts for each request "
                               << model.m_counts.attempts_per_request() << ", of these far "
                               << model.m_counts.far_attempts_per_request());
    return model.m_counts;
}

std::optional<placement::decision> choose_by_placement(const option_list& choices,
                                                       const placement::decision_input& input,
                                                       random_engine& engine)
{
    return placement::decide(choices, input, engine);
}

} // namespace

BOOST_AUTO_TEST_SUITE(large_service)

BOOST_AUTO_TEST_CASE(below_its_capacity_a_large_service_serves_in_time_though_a_part_of_it_fails)
{
    const auto counts = play(choose_by_placement, 0.85);
    const auto naive = play(choose_at_random, 0.85);
    BOOST_TEST(counts.m_refused * 100 <= counts.m_asked);
    BOOST_TEST(counts.share_in_target() >= 0.95);
    BOOST_TEST(counts.share_in_target() > naive.share_in_target());
}

BOOST_AUTO_TEST_CASE(a_large_overloaded_service_serves_what_it_has_room_for)
{
    const auto counts = play(choose_by_placement, 1.3);
    const auto served = counts.m_in_target + counts.m_late;
    // Nine tenths of the capacity serve requests, and three quarters of those meet the target.
    BOOST_TEST(static_cast<double>(served) >= static_cast<double>(counts.m_asked) * 0.9 / 1.3);
    BOOST_TEST(counts.m_in_target * 4 >= served * 3);
}

BOOST_AUTO_TEST_SUITE_END()
