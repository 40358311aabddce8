#pragma once

#include <cstdint>

namespace chivevane {

/// Names a request that came in on a listener of this process, until it was answered.
using exchange_id = std::uint64_t;

/// Names an outgoing request of this process.
using transfer_id = std::uint64_t;

} // namespace chivevane
