#pragma once

#include "libpolicy/fleet_harness.h"

namespace chivevane::test {

/// A proxy as it is often written, to compare with: no ids and no gates; it picks an upstream at
/// random and sends the request again on any failure or after a second without an answer.
decider make_naive_decider(host_settings settings, effect_list& start_effects, instant now);

} // namespace chivevane::test
