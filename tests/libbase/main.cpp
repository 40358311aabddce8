#define BOOST_TEST_MODULE libbase
#include <boost/test/unit_test.hpp>
