#pragma once

#include <pcg_random.hpp>

namespace chivevane {

/// Random number generator for all random choices of the host's state machine (`reduce`). It is
/// part of the state and seeded from the settings, so that replaying the same events yields the
/// same effects.
using random_engine = pcg32;

/// Returns a uniformly distributed number in [0, 1), with a resolution of 2^-32.
inline double uniform_fraction(random_engine& engine)
{
    return engine() / 4294967296.0;
}

} // namespace chivevane
