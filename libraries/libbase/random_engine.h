#pragma once

#include <pcg_random.hpp>

namespace chivevane {

/// The source of all random choices of a reducer. It is part of the state and seeded by an event,
/// so that a session replays exactly.
using random_engine = pcg32;

/// A uniform number in [0, 1).
inline double uniform_fraction(random_engine& engine)
{
    return engine() / 4294967296.0;
}

} // namespace chivevane
