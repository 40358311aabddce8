#include "libbase/read_file.h"

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_SUITE(files)

BOOST_AUTO_TEST_CASE(a_file_is_read_whole_and_a_missing_one_is_a_typed_error)
{
    using namespace chivevane;
    const auto text = read_file(CHIVEVANE_SOURCE_DIR "/samples/blackmorass.yaml");
    BOOST_TEST_REQUIRE(!is_error(text));
    BOOST_TEST(value_of(text).find("document: blackmorass") != std::string::npos);
    const auto missing = read_file(CHIVEVANE_SOURCE_DIR "/samples/none.yaml");
    BOOST_TEST_REQUIRE(is_error(missing));
    BOOST_TEST((error_of(missing).m_kind == error_kind::not_found));
}

BOOST_AUTO_TEST_SUITE_END()
