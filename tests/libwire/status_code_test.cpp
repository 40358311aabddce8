#include "libwire/status_code.h"

#include <boost/test/unit_test.hpp>

using namespace chivevane;

BOOST_AUTO_TEST_SUITE(status_codes)

BOOST_AUTO_TEST_CASE(status_codes_are_classified_by_what_follows_their_response)
{
    for (unsigned status = 0; status < 1000; ++status) {
        const bool is_interim = status == 100 || status == 102 || status == 103;
        const bool is_final = status >= 200 && status < 600;
        const auto expected = is_interim ? response_kind::interim
                              : is_final ? response_kind::final
                                         : response_kind::invalid;
        BOOST_TEST((response_kind_of(static_cast<std::uint16_t>(status)) == expected), status);
    }
}

BOOST_AUTO_TEST_SUITE_END()
