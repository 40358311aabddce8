#include "libbase/compression.h"

#include <boost/test/unit_test.hpp>

using namespace chivevane;

BOOST_AUTO_TEST_SUITE(compression)

BOOST_AUTO_TEST_CASE(bytes_come_back_as_they_were)
{
    std::string varied;
    for (int index = 0; index < 70'000; ++index) {
        varied.push_back(static_cast<char>((index * 31 + index / 251) % 256));
    }
    for (const auto& bytes :
         {std::string{}, std::string{"a"}, std::string(1'000'000, 'b'), varied}) {
        const auto back = decompress(compress(bytes), 1'000'000);
        BOOST_TEST_REQUIRE(back.has_value());
        BOOST_TEST((*back == bytes));
    }
    BOOST_TEST(compress(std::string(1'000'000, 'b')).size() < 10'000U);
}

BOOST_AUTO_TEST_CASE(damaged_or_too_large_input_is_refused)
{
    const auto compressed = compress("a document");
    BOOST_TEST(decompress(compressed, 10).has_value());
    BOOST_TEST(!decompress(compressed, 9).has_value());
    for (std::size_t size = 0; size < compressed.size(); ++size) {
        BOOST_TEST(!decompress(std::string_view{compressed}.substr(0, size), 10).has_value());
    }
    for (std::size_t place = 0; place < compressed.size(); ++place) {
        auto damaged = compressed;
        damaged[place] = static_cast<char>(damaged[place] ^ 0x15);
        const auto read = decompress(damaged, 10);
        BOOST_TEST((!read || *read == "a document"));
    }
}

BOOST_AUTO_TEST_SUITE_END()
