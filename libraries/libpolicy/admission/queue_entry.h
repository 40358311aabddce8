#pragma once

#include "libbase/instant.h"
#include "libpolicy/admission/admission_state.h"

#include <cstddef>
#include <cstdint>

namespace chivevane::admission {

/// Whether a start rate protects the upstream while it is cold.
bool is_rate_limited(const upstream_admission& upstream);

/// How many attempts may run at once. If the start rate that a cold upstream tolerates is
/// configured, that rate protects it and all slots are used. Otherwise the limit is learnt from its
/// answers.
std::uint32_t concurrency_of(const upstream_admission& upstream);

/// How many attempts may be queued.
std::size_t queue_capacity(const upstream_admission& upstream);

/// Whether an attempt that cannot start may be queued, under `overload_policy::priority`.
bool may_wait(const upstream_admission& upstream, const queued_attempt& attempt, instant now);

} // namespace chivevane::admission
