#pragma once

#include <cstdint>

namespace chivevane {

/// What a status code says about the response that carries it (RFC 9110 section 15).
enum class response_kind : std::uint8_t {
    interim, ///< Another response to the same request follows.
    final,
    invalid, ///< No response to a request of this project has such a status code.
};

/// Returns the kind of a response to a request that neither asks for another protocol nor announces
/// an extension that defines interim responses.
response_kind response_kind_of(std::uint16_t status);

} // namespace chivevane
