#pragma once

#include "libbase/instant.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace chivevane {

/// What a connection is doing, in the order in which connections are closed at a limit.
enum class connection_phase : std::uint8_t {
    ending,    ///< The last answer is written, and the connection only waits for the peer's close.
    idle,      ///< There is no request.
    receiving, ///< Part of a request was received, and no other request is in progress.
    unread,    ///< An answer waits for the peer to read it.
    busy       ///< A request is in progress.
};

/// The phase of a connection with the time of its last progress.
struct connection_activity {
    connection_phase m_phase = connection_phase::idle;
    instant m_last_progress;
};

/// Returns the index of the connection to close in favour of a new one, or nothing if the new one
/// must be closed. A connection that is ending or idle may be closed at any time. One that is
/// receiving or unread may be closed when it has stalled for as long as a holder of memory may, so
/// that stalled peers cannot occupy all descriptors.
std::optional<std::size_t>
choose_connection_to_close(std::span<const connection_activity> connections, instant now);

} // namespace chivevane
