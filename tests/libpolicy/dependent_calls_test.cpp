// Requests that need two calls of an overloaded service. A request fails if either call is refused,
// and the work on the other one is lost. The tests check how many requests the service's capacity
// serves.

#include "libpolicy/ingress/request_priority.h"
#include "libpolicy/large_service_model.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

using namespace chivevane;
using namespace chivevane::test;

namespace {

/// How the hosts that run the requests treat the calls.
enum class call_policy : std::uint8_t {
    alike,    ///< All calls are equally urgent.
    by_class, ///< Calls have the class of their host.
};

struct parent_request {
    std::size_t m_calls_served = 0;
};

/// Counts of requests that need two calls.
struct parent_counts {
    std::size_t m_asked = 0;
    std::size_t m_failed = 0; ///< After they were started.
    std::size_t m_served = 0;
};

service_shape called_service()
{
    service_shape shape;
    shape.m_gates = 60;
    shape.m_ingresses = 300;
    shape.m_failing_in_ten = 0;
    shape.m_run_s = 0.12;
    shape.m_target = shape.m_deadline = 1200ms;
    shape.m_organisation.clear();
    return shape;
}

parent_counts play(call_policy policy, double load)
{
    const auto shape = called_service();
    large_service_model model{
        shape, [](const option_list& choices, const placement::decision_input& input,
                  random_engine& engine) { return placement::decide(choices, input, engine); }};
    std::vector<parent_request> parents;
    const auto name_of = [](std::size_t host) { return "host-" + std::to_string(1000 + host); };
    model.m_on_end = [&](const model_request& call, model_end end) {
        parents[call.m_number].m_calls_served += end == model_end::refused ? 0 : 1;
    };
    parent_counts counts;
    const auto send = [&] {
        ++counts.m_asked;
        const auto host = model.random_ingress();
        parents.emplace_back();
        const auto priority = policy == call_policy::alike
                                  ? 0
                                  : ingress::request_priority({0, "", name_of(host), model.m_now});
        for (int call = 0; call < 2; ++call) {
            model.place({model.m_now, host, priority, parents.size() - 1});
        }
    };
    model.run_load(shape.capacity() / 2 * load, 8s, send);
    for (const auto& parent : parents) {
        ++(parent.m_calls_served == 2 ? counts.m_served : counts.m_failed);
    }
    BOOST_TEST_MESSAGE("load " << load << ", policy " << static_cast<int>(policy) << ": asked "
                               << counts.m_asked << ", failed " << counts.m_failed << ", served "
                               << counts.m_served << "; attempts for each call "
                               << model.m_counts.attempts_per_request());
    return counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(dependent_calls)

BOOST_AUTO_TEST_CASE(below_the_capacity_of_the_called_service_nearly_all_requests_are_served)
{
    for (const auto policy : {call_policy::alike, call_policy::by_class}) {
        const auto counts = play(policy, 0.7);
        BOOST_TEST(counts.m_served * 100 >= counts.m_asked * 97);
    }
}

BOOST_AUTO_TEST_CASE(above_its_capacity_the_service_works_on_requests_whose_calls_it_all_serves)
{
    for (const double load : {1.3, 1.8}) {
        const auto alike = play(call_policy::alike, load);
        const auto by_class = play(call_policy::by_class, load);
        BOOST_TEST(by_class.m_served > alike.m_served);
        // Nine tenths of what the service could serve if it were never given a call in vain.
        BOOST_TEST(by_class.m_served * load >= by_class.m_asked * 0.9);
    }
}

BOOST_AUTO_TEST_SUITE_END()
