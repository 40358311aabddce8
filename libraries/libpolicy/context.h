#pragma once

#include "libbase/instant.h"
#include "libbase/random_engine.h"
#include "libpolicy/effect.h"
#include "libpolicy/host_settings.h"

#include <cstdint>
#include <utility>

namespace chivevane {

/// What every module gets with an event: the time, random numbers, and where its effects go.
struct context {
    instant m_now;
    std::int64_t m_wall_ms;
    const host_settings& m_settings;
    random_engine& m_random;
    std::uint64_t& m_last_id; ///< Last id given to a transfer or store operation.
    effect_list& m_effects;
};

/// An id for a transfer or store operation that no other has in this run of the process.
inline std::uint64_t next_id(context& surroundings)
{
    return ++surroundings.m_last_id;
}

/// Adds an effect. Made in place: GCC 12 takes the move of a whole `effect` for a use of what is
/// not initialised.
template <typename Item>
void emit(context& surroundings, Item&& item)
{
    surroundings.m_effects.emplace_back(std::forward<Item>(item));
}

} // namespace chivevane
