#pragma once

#include <cstdint>
#include <cstdlib>

namespace chivevane::test {

/// The number in an environment variable, such as of seeds to run; `ordinary` without it.
inline std::uint64_t count_from_environment(const char* variable, std::uint64_t ordinary)
{
    const auto* const text = std::getenv(variable);
    return text == nullptr ? ordinary : std::strtoull(text, nullptr, 10);
}

} // namespace chivevane::test
