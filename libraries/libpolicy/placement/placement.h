#pragma once

#include "libpolicy/placement/destination_records.h"
#include "libpolicy/reducer_context.h"
#include "libpolicy/routing/routing.h"
#include "libwire/attempt_metadata.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

/// Chooses the upstream of one attempt when the ingress probes gates for free slots.
///
/// The ingress sends the attempt to gates of its own data centre first, then to others. Each gate
/// either starts the attempt or refuses it within a round trip. So every decision rests on the
/// current state of the gate itself, and hosts need not report their load ahead of requests. Once
/// several gates had no free slot, the attempt is queued at the one with the least load. Upstreams
/// whose circuit is open after failures are skipped until no other takes the attempt even into its
/// queue: they get the excess load that the other upstreams cannot take.
namespace chivevane::placement {

/// One upstream that the attempt may be sent to.
struct option {
    routing::upstream_location m_location;
    double m_slots = 1;                  ///< Requests that the upstream runs at once.
    bool m_is_in_own_datacentre = false; ///< Whether it is in the data centre of this host.
    destination_record m_record;

    /// Whether an earlier attempt of this request was sent to it.
    bool m_was_tried = false;

    /// Whether it may have run this request.
    bool m_may_have_run_request = false;

    /// Whether its gate was sent an earlier attempt that bypasses the circuit breaker.
    bool m_was_offered_bypass = false;

    /// Whether its gate was sent an earlier attempt that it was allowed to queue.
    bool m_was_offered_queueing = false;
};

/// What a decision depends on besides the options.
struct decision_input {
    std::size_t m_refusals = 0; ///< Attempts that gates have refused so far.

    std::uint32_t m_priority = 0; ///< 0 is the most urgent.
    bool m_is_large = false;      ///< Whether large answers are expected, which should not
                                  ///< cross data centres.
    instant m_now;
};

/// The chosen option and the instructions to its gate.
struct decision {
    std::size_t m_option = 0; ///< Index of the chosen option.
    queueing_permission m_queueing = queueing_permission::forbidden;
    circuit_breaker_mode m_circuit_breaker_mode = circuit_breaker_mode::enforce;
};

/// The options that a decision picks from at random, and the instructions to the gate.
struct choice {
    std::vector<std::size_t> m_options; ///< Indices; each is picked in proportion to its slots.
    queueing_permission m_queueing = queueing_permission::forbidden;
    circuit_breaker_mode m_circuit_breaker_mode = circuit_breaker_mode::enforce;
};

/// Finds the options that the next attempt may go to. Returns nothing if none may take it.
std::optional<choice> find_choice(std::span<const option> options, const decision_input& input);

/// Returns the choices of one attempt after another if each gate that is asked refuses without a
/// report of its load. The gates of one choice are taken as asked together, although only a few of
/// a large group would be; the rest of it may be asked once the attempt may queue.
std::vector<choice> asking_order(std::span<const option> options, decision_input input);

/// Chooses among `options`. Returns nothing if none may take the attempt.
std::optional<decision> decide(std::span<const option> options, const decision_input& input,
                               random_engine& engine);

} // namespace chivevane::placement
