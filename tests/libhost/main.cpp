#define BOOST_TEST_MODULE libhost
#include <boost/test/unit_test.hpp>
