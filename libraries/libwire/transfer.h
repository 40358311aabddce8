#pragma once

#include <cstdint>

namespace chivevane {

/// How an outgoing HTTP request ended.
enum class transfer_end : std::uint8_t {
    complete, ///< The whole response was received and, if it is relayed, written to the caller.
    connect_failed,  ///< No connection could be established, so the request was not sent.
    connection_lost, ///< The connection failed after the request may have been sent.
    truncated,       ///< The response body ended before its declared length or within a chunk.
    stalled,         ///< No byte was received for the duration of the stall timeout.
    caller_left,     ///< The caller had left, so the request was not sent.
};

/// Whether an outgoing request may reuse an idle connection.
enum class connection_reuse : std::uint8_t {
    allowed,       ///< The request may reuse any idle connection.
    forbidden,     ///< The request opens a new connection.
    recently_used, ///< The request may reuse an idle connection only if it was used very recently.
};

} // namespace chivevane
