#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/// Compression of byte strings in the zlib format (RFC 1950), with their uncompressed size in
/// front.
namespace chivevane {

/// Returns `bytes` compressed, fast rather than small. At most 4 GiB can be compressed.
std::string compress(std::string_view bytes);

/// Reverses `compress`. Empty if the input is damaged or yields more than `max_size` bytes.
std::optional<std::string> decompress(std::string_view compressed, std::size_t max_size);

} // namespace chivevane
