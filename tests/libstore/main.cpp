#define BOOST_TEST_MODULE libstore
#include <boost/test/unit_test.hpp>
