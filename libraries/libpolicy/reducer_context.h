#pragma once

#include "libbase/instant.h"
#include "libbase/random_engine.h"
#include "libpolicy/effect.h"
#include "libpolicy/host_settings.h"

#include <cstdint>
#include <utility>

namespace chivevane {

/// What every module needs to handle an event: the time, the settings, random numbers and the list
/// that its effects are added to.
struct reducer_context {
    instant m_now;
    std::int64_t m_wall_ms; ///< Milliseconds since the Unix epoch.
    const host_settings& m_settings;
    random_engine& m_random;
    std::uint64_t& m_last_id; ///< The latest id of a transfer or store operation.
    effect_list& m_effects;
};

/// Returns an id for a transfer or store operation that is unique within this run of the process.
inline std::uint64_t next_id(reducer_context& context)
{
    return ++context.m_last_id;
}

/// Adds an effect. The effect is constructed in place, because GCC 12 warns of uninitialised memory
/// when a whole `effect` is moved.
template <typename Item>
void emit(reducer_context& context, Item&& item)
{
    context.m_effects.emplace_back(std::forward<Item>(item));
}

} // namespace chivevane
