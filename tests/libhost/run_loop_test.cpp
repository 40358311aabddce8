#include "libhost/run_loop.h"

#include <asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <stdexcept>

using namespace chivevane;

BOOST_AUTO_TEST_SUITE(event_loop)

BOOST_AUTO_TEST_CASE(an_exception_of_one_handler_does_not_end_the_others)
{
    asio::io_context loop{1};
    int handled = 0;
    asio::post(loop, [] { throw std::runtime_error{"a value of an unexpected type"}; });
    asio::post(loop, [&handled] { ++handled; });
    asio::post(loop, [] { throw std::out_of_range{"a name that is not in the table"}; });
    asio::post(loop, [&handled] { ++handled; });
    run_loop(loop);
    BOOST_TEST(handled == 2);
}

BOOST_AUTO_TEST_SUITE_END()
