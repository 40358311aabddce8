#define BOOST_TEST_MODULE libdocument
#include <boost/test/unit_test.hpp>
