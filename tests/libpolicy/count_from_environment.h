#pragma once

#include <cstdint>
#include <cstdlib>

namespace chivevane::test {

/// Returns the number in an environment variable, such as the number of seeds to run, or
/// `default_value` if the variable is not set.
inline std::uint64_t count_from_environment(const char* variable, std::uint64_t default_value)
{
    const auto* const text = std::getenv(variable);
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

} // namespace chivevane::test
