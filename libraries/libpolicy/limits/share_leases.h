#pragma once

#include "libpolicy/limits/limits_state.h"
#include "libpolicy/membership/membership_state.h"
#include "libpolicy/reducer_context.h"

#include <cstdint>
#include <span>

namespace chivevane::limits {

/// The pool of `slot` with what this host may use now: expired parts are removed, and the host's
/// own share is included if the host has a valid holder lease and has not leased the share to a
/// broker.
slot_pool& usable_pool(limits_state& state, reducer_context& context, std::size_t slot);

/// Names of the hosts to request tokens of `slot` from, the broker first.
std::span<const std::string> brokers_of(const limits_state& state, std::size_t slot);

/// Sends share lease requests to all hosts for the slots whose broker is this host, when a round is
/// due.
void run_lease_round(limits_state& state, reducer_context& context,
                     const membership_state& members);

/// Leases this host's share of each requested slot to the sender, unless the share is leased to
/// another broker.
void answer_share_lease_request(limits_state& state, reducer_context& context,
                                const membership_state& members, const host_identity& sender,
                                const share_lease_request& request);

/// Handles a holder's answer to a share lease request: adds the leased shares to this host's pools,
/// and records the holder's confirmation of this host's holder lease.
void apply_share_lease_response(limits_state& state, reducer_context& context,
                                const host_identity& sender, const share_lease_response& response);

/// Changes the size of this host's own share to `units`. The share starts with the tokens that it
/// refills from `since` on, which may lie in the past.
void resize_own_share(limits_state& state, reducer_context& context, std::uint32_t units,
                      instant since);

} // namespace chivevane::limits
