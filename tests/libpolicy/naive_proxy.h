#pragma once

#include "libpolicy/fleet_harness.h"

namespace chivevane::test {

/// Creates a common kind of proxy for comparison, which has neither request ids nor gates. It picks
/// an upstream at random, and repeats the request on any failure or after a second without an
/// answer.
event_handler make_naive_event_handler(host_settings settings, effect_list& start_effects,
                                       instant now);

} // namespace chivevane::test
