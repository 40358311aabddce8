#pragma once

#include "libpolicy/context.h"
#include "libpolicy/limits/metering_state.h"
#include "libpolicy/limits/verdict.h"
#include "libpolicy/membership/membership_state.h"
#include "libwire/token_messages.h"

#include <string_view>

/// One rate over all hosts, held by one host for each organisation.
///
/// Each request asks the host that meters its organisation, which has the whole bucket; the answer
/// takes one round trip. Which host that is follows from the members, so no state outlives it: a
/// new meter begins with a part of the burst. A host that gets no answer in time asks another meter
/// the next time, and lets the request through within an even part of the limit.
namespace chivevane::limits {

/// Asks for one request of `organisation` (document/organisation). `ticket` names it in a later
/// `settled_ticket`.
verdict take_metered(metering_state& state, context& surroundings, const membership_state& members,
                     std::string_view organisation, const rate_limit& limit, std::uint64_t ticket);

/// Forgets a waiting request whose caller has gone.
void withdraw_metered(metering_state& state, std::uint64_t ticket);

/// Answers as the meter, or passes the request on to the meter that it names.
void on_token_request(metering_state& state, context& surroundings, const membership_state& members,
                      const host_identity& sender, const token_request& request);

void on_token_response(metering_state& state, context& surroundings,
                       const token_response& response);

/// Repeats requests without an answer, and decides those that waited for too long.
void check_metered(metering_state& state, context& surroundings, const membership_state& members);

/// When `check_metered` is due.
instant next_metered_check(const metering_state& state);

} // namespace chivevane::limits
