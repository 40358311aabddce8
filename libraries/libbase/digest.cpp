#include "libbase/digest.h"

#include <cassert>
#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <vector>
#include <xxhash.h>

namespace chivevane {

namespace {

const unsigned char* as_bytes(std::string_view data)
{
    return reinterpret_cast<const unsigned char*>(data.data());
}

} // namespace

digest_bytes sha256(std::string_view data)
{
    digest_bytes bytes{};
    unsigned int length = 0;
    [[maybe_unused]] const int return_code =
        EVP_Digest(data.data(), data.size(), bytes.data(), &length, EVP_sha256(), nullptr);
    assert(return_code == 1 && length == bytes.size());
    return bytes;
}

digest_bytes hmac_sha256(std::string_view secret, std::string_view data)
{
    digest_bytes bytes{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), as_bytes(data), data.size(),
         bytes.data(), &length);
    assert(length == bytes.size());
    return bytes;
}

std::string to_hex(std::span<const std::uint8_t> bytes)
{
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const auto byte : bytes) {
        fmt::format_to(std::back_inserter(text), "{:02x}", byte);
    }
    return text;
}

std::string sha256_hex(std::string_view data)
{
    return to_hex(sha256(data));
}

bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string random_hex(std::size_t count)
{
    std::vector<std::uint8_t> bytes(count);
    [[maybe_unused]] const int return_code = RAND_bytes(bytes.data(), static_cast<int>(count));
    assert(return_code == 1);
    return to_hex(bytes);
}

std::uint64_t stable_hash(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

} // namespace chivevane
