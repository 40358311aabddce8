#define BOOST_TEST_MODULE libadmin
#include <boost/test/unit_test.hpp>
