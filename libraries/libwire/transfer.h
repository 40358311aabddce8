#pragma once

#include <cstdint>

namespace chivevane {

/// How an outgoing request ended.
enum class transfer_end : std::uint8_t {
    complete,       ///< The whole answer has come, and was written on if it was relayed.
    connect_failed, ///< No connection could be made: the request was not sent.
    broken,         ///< The connection failed after the request may have been sent.
    truncated,      ///< The body ended before its announced length, or mid-chunk.
    stalled,        ///< No byte came for the stall timeout.
};

/// Whether an outgoing request may use an idle connection or must open its own.
enum class connection_choice : std::uint8_t {
    reuse,
    fresh,
    recent, ///< An idle connection only if it was used moments ago.
};

} // namespace chivevane
