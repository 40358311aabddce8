#include "libwire/store_position.h"

#include <fmt/format.h>

namespace chivevane {

std::string describe_position(std::uint64_t encoded)
{
    const auto [era, revision] = decode_position(encoded);
    return era == 0 ? std::to_string(revision) : fmt::format("{}:{}", era, revision);
}

} // namespace chivevane
