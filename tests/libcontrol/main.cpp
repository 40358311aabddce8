#define BOOST_TEST_MODULE libcontrol
#include <boost/test/unit_test.hpp>
