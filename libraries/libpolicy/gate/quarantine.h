#pragma once

#include "libbase/instant.h"
#include "libpolicy/membership/membership_state.h"
#include "libwire/attempt_id.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivevane {

/// A kind of request that was in flight when an upstream broke off.
struct suspect {
    std::vector<std::string> m_strikes; ///< Runs of upstreams, as host/endpoint/run.
    instant m_expires_at;
    std::optional<attempt_id> m_running; ///< The one attempt that runs here.
    std::deque<attempt_id> m_held;       ///< Attempts that wait for its end.
};

/// The kinds of request that this host suspects or refuses, by fingerprint.
struct quarantine_state {
    std::map<std::uint64_t, suspect> m_suspects;
};

} // namespace chivevane

/// Finds requests that crash the upstreams that run them.
namespace chivevane::quarantine {

/// How long a strike counts, and so how long a request is suspected or refused.
constexpr duration strike_lifetime = 60s;

/// Strikes that quarantine a request.
constexpr std::size_t strikes_to_quarantine = 2;

/// Suspects that a host remembers; beyond it the one with the weakest evidence is dropped.
constexpr std::size_t max_suspects = 1024;

/// Attempts that may wait while another with the same fingerprint runs.
constexpr std::size_t max_held = 64;

enum class standing : std::uint8_t {
    clear,
    suspected,   ///< Runs one at a time, at the gate of its owner only.
    quarantined, ///< Refused.
};

/// Adds one strike; the same strike counts once. False if it was known.
bool add_strike(quarantine_state& state, std::uint64_t fingerprint, std::string_view strike,
                instant now);

/// Takes one strike back.
void withdraw_strike(quarantine_state& state, std::uint64_t fingerprint, std::string_view strike);

standing standing_of(const quarantine_state& state, std::uint64_t fingerprint, instant now);

/// Drops the suspects whose time is up.
void expire(quarantine_state& state, instant now);

/// The host whose gate alone may run a suspected request: the same on all hosts that see the same
/// members, and not the one that was struck while there are others. Empty without any.
std::string_view owner_of(const quarantine_state& state, const membership_state& members,
                          std::string_view service, std::uint64_t fingerprint);

} // namespace chivevane::quarantine
