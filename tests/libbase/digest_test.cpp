#include "libbase/digest.h"
#include "libbase/log_line.h"
#include "libbase/rendezvous.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace chivevane;

BOOST_AUTO_TEST_SUITE(digests)

BOOST_AUTO_TEST_CASE(sha256_matches_the_standard_vector)
{
    // FIPS 180-4, example "abc".
    BOOST_TEST(sha256_hex("abc") ==
               "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

BOOST_AUTO_TEST_CASE(hmac_matches_the_standard_vector)
{
    // RFC 4231, test case 2.
    BOOST_TEST(to_hex(hmac_sha256("Jefe", "what do ya want for nothing?")) ==
               "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

BOOST_AUTO_TEST_CASE(log_line_quotes_ambiguous_values)
{
    log_line line{"refused"};
    line.add("reason", "no upstream").add("path", "/a").add("empty", "").add("status", 503);
    BOOST_TEST(line.text() == "event=refused reason=\"no upstream\" path=/a empty=\"\" status=503");
}

BOOST_AUTO_TEST_CASE(rendezvous_moves_only_the_keys_of_a_removed_member)
{
    const std::vector<std::string> all{"a", "b", "c", "d"};
    const std::vector<std::string> fewer{"a", "b", "d"};
    for (int number = 0; number < 200; ++number) {
        const auto key = std::to_string(number);
        const auto owner = rendezvous_owner(key, all);
        if (owner != "c") {
            BOOST_TEST(rendezvous_owner(key, fewer) == owner);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
