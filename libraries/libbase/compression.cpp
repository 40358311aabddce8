#include "libbase/compression.h"

#include <cstdint>
#include <stdexcept>
#include <zlib.h>

namespace chivevane {

namespace {

constexpr std::size_t size_prefix = sizeof(std::uint32_t); ///< Bytes, little-endian.

const Bytef* as_zlib_bytes(std::string_view bytes)
{
    return reinterpret_cast<const Bytef*>(bytes.data());
}

Bytef* as_zlib_bytes(char* bytes)
{
    return reinterpret_cast<Bytef*>(bytes);
}

std::string encode_size(std::size_t size)
{
    std::string prefix;
    for (std::size_t index = 0; index < size_prefix; ++index) {
        prefix.push_back(static_cast<char>((size >> (8 * index)) & 0xFFU));
    }
    return prefix;
}

std::size_t decode_size(std::string_view prefix)
{
    std::size_t size = 0;
    for (std::size_t index = size_prefix; index > 0; --index) {
        size = (size << 8U) | static_cast<unsigned char>(prefix[index - 1]);
    }
    return size;
}

} // namespace

std::string compress(std::string_view bytes)
{
    auto compressed = encode_size(bytes.size());
    uLongf length = compressBound(bytes.size());
    compressed.resize(size_prefix + length);
    if (compress2(as_zlib_bytes(compressed.data() + size_prefix), &length, as_zlib_bytes(bytes),
                  bytes.size(), Z_BEST_SPEED) != Z_OK) {
        throw std::runtime_error{"zlib cannot allocate memory"};
    }
    compressed.resize(size_prefix + length);
    return compressed;
}

std::optional<std::string> decompress(std::string_view compressed, std::size_t max_size)
{
    if (compressed.size() < size_prefix) {
        return std::nullopt;
    }
    const auto size = decode_size(compressed.substr(0, size_prefix));
    if (size > max_size) {
        return std::nullopt;
    }
    compressed.remove_prefix(size_prefix);
    std::string bytes(size, '\0');
    uLongf length = size;
    const auto status = uncompress(as_zlib_bytes(bytes.data()), &length, as_zlib_bytes(compressed),
                                   compressed.size());
    if (status != Z_OK || length != size) {
        return std::nullopt;
    }
    return bytes;
}

} // namespace chivevane
