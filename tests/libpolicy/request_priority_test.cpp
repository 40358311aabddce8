#include "libpolicy/ingress/request_priority.h"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace chivevane;

BOOST_AUTO_TEST_SUITE(request_priorities)

namespace {

std::uint32_t priority_of(std::uint32_t configured, std::string_view organisation,
                          std::optional<std::uint32_t> route)
{
    return ingress::request_priority({configured, organisation, "host", instant{1h}, route});
}

} // namespace

// Guards against requests of one organisation that are all as urgent as each other, so that less
// urgent routes are served as often as urgent ones when there is too little room.
BOOST_AUTO_TEST_CASE(the_route_ranks_requests_of_the_same_configured_priority)
{
    BOOST_TEST(priority_of(1, "a", 0) < priority_of(1, "a", 1));
    BOOST_TEST(priority_of(1, "a", 1) < priority_of(1, "a", 2));
    BOOST_TEST(priority_of(1, "", 1) < priority_of(1, "a", 1)); // A call of a request that runs.
}

// Guards against a route that outranks the priority of an organisation.
BOOST_AUTO_TEST_CASE(the_configured_priority_goes_before_that_of_the_route)
{
    BOOST_TEST(priority_of(0, "a", 1'000'000) < priority_of(1, "b", 0));
    BOOST_TEST(priority_of(1, "a", 1'000'000) < priority_of(2, "", 0));
}

// Guards against another order where routes are not ranked.
BOOST_AUTO_TEST_CASE(without_ranks_requests_of_an_organisation_are_equally_urgent)
{
    BOOST_TEST(priority_of(1, "a", std::nullopt) == priority_of(1, "b", std::nullopt));
    BOOST_TEST(priority_of(1, "a", std::nullopt) == 31U);
}

BOOST_AUTO_TEST_SUITE_END()
