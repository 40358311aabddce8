#define BOOST_TEST_MODULE libhttp
#include <boost/test/unit_test.hpp>
