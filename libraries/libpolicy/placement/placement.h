#pragma once

#include "libpolicy/context.h"
#include "libpolicy/placement/destination_view.h"
#include "libpolicy/routing/routing.h"
#include "libwire/link_head.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

/// Where one attempt goes when gates answer at once whether they have room.
///
/// The ingress asks gates of its own data centre first, then others, and each gate either starts
/// the attempt or refuses it within a round trip. So the state that decides is always the gate's
/// own and current, and no load has to be told ahead of requests. Once several gates had no room,
/// the attempt waits at the one with the least load. Upstreams that fail are passed over until no
/// other takes the attempt even to wait: what the sound ones cannot bear goes to them.
namespace chivevane::placement {

/// One upstream that might take the attempt.
struct option {
    routing::choice m_choice;
    double m_slots = 1;
    bool m_is_near = false; ///< In the data centre of this host.
    destination_record m_record;
    bool m_was_tried = false;         ///< Has refused this request.
    bool m_has_run_it = false;        ///< May have run this request.
    bool m_has_been_insisted = false; ///< Has refused it though it might run on a failing upstream.
    bool m_has_waited = false;        ///< Has refused it even to wait.
};

/// What the choice depends on besides the options.
struct situation {
    std::size_t m_refusals = 0; ///< Gates that refused the request so far.

    std::uint32_t m_priority = 0; ///< 0 is the most urgent.
    bool m_is_large = false;      ///< The answer is large: it should not cross data centres.
    instant m_now;
};

/// The option chosen and what its gate is told.
struct decision {
    std::size_t m_option = 0; ///< Index into the options.
    link_waiting m_waiting = link_waiting::forbidden;
    link_insistence m_insistence = link_insistence::none;
};

/// Chooses among `options`; empty when none may take the attempt.
std::optional<decision> decide(std::span<const option> options, const situation& about,
                               random_engine& engine);

} // namespace chivevane::placement
