#pragma once

#include <cstdint>

namespace chivevane {

/// Identifies a request that a listener of this process received, until the request is answered.
using exchange_id = std::uint64_t;

/// Identifies an outgoing request of this process.
using transfer_id = std::uint64_t;

} // namespace chivevane
