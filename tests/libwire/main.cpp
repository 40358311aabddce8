#define BOOST_TEST_MODULE libwire
#include <boost/test/unit_test.hpp>
