#pragma once

#include "libbase/instant.h"

#include <cstdint>

namespace chivevane::health {

/// How much new work an upstream should get.
enum class standing : std::uint8_t {
    healthy,
    trial,   ///< A few idempotent requests only.
    ramping, ///< A growing share.
    ejected, ///< None.
};

/// The verdict on an upstream; `m_share` of its fair part of the work, 0 to 1.
struct verdict {
    standing m_standing = standing::healthy;
    double m_share = 1;
};

/// Where an upstream stands and how often it was ejected of late.
struct standing_record {
    standing m_standing = standing::healthy;
    instant m_since;               ///< When it came to stand there.
    duration m_stay{};             ///< How long it stays ejected.
    std::uint32_t m_ejections = 0; ///< Recent ones; lengthen the next stay.
    std::uint32_t m_trial_answers = 0;
};

void eject(standing_record& record, instant now);

/// Begins a ramp that is no consequence of sickness.
void begin_ramp(standing_record& record, instant now);

/// Whether a change of standing asks for a fresh look at the evidence.
enum class standing_change : std::uint8_t { none, trial_began, other };

/// Ends stays and ramps that are over and forgets old ejections.
standing_change advance(standing_record& record, instant now);

/// Goes from trial to ramp after enough answers. `severity` is that of the trial's answers.
void note_trial_answers(standing_record& record, std::uint32_t answers, double severity,
                        instant now);

/// The verdict at `now`; `trial_share` is what an upstream on trial gets.
verdict verdict_of(const standing_record& record, double trial_share, instant now);

} // namespace chivevane::health
