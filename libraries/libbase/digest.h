#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace chivevane {

using digest_bytes = std::array<std::uint8_t, 32>;

/// SHA-256 of `data` (FIPS 180-4).
digest_bytes sha256(std::string_view data);

/// HMAC-SHA-256 of `data` under `secret` (RFC 2104).
digest_bytes hmac_sha256(std::string_view secret, std::string_view data);

/// Lower-case hexadecimal form of `bytes`.
std::string to_hex(std::span<const std::uint8_t> bytes);

/// SHA-256 of `data` in lower-case hexadecimal form: 64 characters.
std::string sha256_hex(std::string_view data);

/// Compares in time that depends only on the lengths, so that a secret cannot be guessed by timing.
bool equal_in_constant_time(std::string_view left, std::string_view right);

/// `count` bytes from the system's cryptographic random source, in hexadecimal form.
std::string random_hex(std::size_t count);

/// A fast 64-bit hash (XXH3) that is the same on all hosts; not for secrets.
std::uint64_t stable_hash(std::string_view data, std::uint64_t seed = 0);

} // namespace chivevane
