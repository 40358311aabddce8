#define BOOST_TEST_MODULE libpolicy
#include <boost/test/unit_test.hpp>
