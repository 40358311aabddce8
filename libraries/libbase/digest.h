#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace chivevane {

/// A SHA-256 or HMAC-SHA-256 digest.
using digest_bytes = std::array<std::uint8_t, 32>;

/// Returns the SHA-256 digest of `data` (FIPS 180-4).
digest_bytes sha256(std::string_view data);

/// Returns the HMAC-SHA-256 of `data` with the key `secret` (RFC 2104).
digest_bytes hmac_sha256(std::string_view secret, std::string_view data);

/// Formats `bytes` as lower-case hexadecimal digits.
std::string to_hex(std::span<const std::uint8_t> bytes);

/// Returns the SHA-256 digest of `data` as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view data);

/// Compares two strings in a time that depends only on their lengths, which prevents timing attacks
/// on secrets.
bool equal_in_constant_time(std::string_view left, std::string_view right);

/// Returns `count` bytes of a cryptographically secure random generator as hexadecimal digits.
std::string random_hex(std::size_t count);

/// Returns a fast 64-bit hash (XXH3) of `data` that is the same on all hosts. It is not
/// cryptographically secure.
std::uint64_t stable_hash(std::string_view data, std::uint64_t seed = 0);

} // namespace chivevane
