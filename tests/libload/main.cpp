#define BOOST_TEST_MODULE libload
#include <boost/test/unit_test.hpp>
