#pragma once

#include "libpolicy/limits/decision.h"
#include "libpolicy/limits/metering_state.h"
#include "libpolicy/membership/membership_state.h"
#include "libpolicy/reducer_context.h"
#include "libwire/token_messages.h"

#include <string>
#include <string_view>

/// Distributed rate limiting with one host, the meter, holding the whole token bucket of an
/// organisation.
///
/// Each request needs a decision of its organisation's meter, which takes one round trip. The meter
/// is chosen by rendezvous hashing over the members, and its bucket is not replicated: a new meter
/// starts with a part of the burst. A host that gets no answer in time decides locally, within an
/// even fraction of the limit. It uses another meter while the old one is considered silent.
namespace chivevane::limits {

/// The host that meters `organisation`. All hosts with the same view of the members choose the
/// same. Empty while none can be chosen.
std::string meter_of(const metering_state& state, const reducer_context& context,
                     const membership_state& members, std::string_view organisation);

/// Takes one token of `organisation` (document/organisation). If the result is `waiting`, a later
/// `deferred_decision` refers to the request by `request_id`.
decision take_metered_token(metering_state& state, reducer_context& context,
                            const membership_state& members, std::string_view organisation,
                            const rate_limit& limit, std::uint64_t request_id);

/// Cancels a waiting request, for example after its caller has disconnected.
void cancel_metered_request(metering_state& state, std::uint64_t request_id);

/// Answers as the meter, or relays the request to the meter that it names.
void on_token_request(metering_state& state, reducer_context& context,
                      const membership_state& members, const host_identity& sender,
                      const token_request& request);

/// Handles a meter's answer: decides the waiting request, or relays the answer to its origin.
void on_token_response(metering_state& state, reducer_context& context,
                       const token_response& response);

/// Retries unanswered requests, and decides locally those that have waited for too long.
void check_metered_requests(metering_state& state, reducer_context& context,
                            const membership_state& members);

/// When `check_metered_requests` is due.
instant next_metered_check(const metering_state& state);

} // namespace chivevane::limits
