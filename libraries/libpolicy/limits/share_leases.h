#pragma once

#include "libpolicy/context.h"
#include "libpolicy/limits/limits_state.h"
#include "libpolicy/membership/membership_state.h"

#include <cstdint>
#include <span>

namespace chivevane::limits {

/// What this host may use of `slot` now: lapsed parts are gone, its own share is back if the broker
/// it was lent to has stopped using it.
slot_pool& usable_pool(limits_state& state, context& surroundings, std::size_t slot);

/// The hosts to ask for tokens of `slot`, the broker first.
std::span<const std::string> brokers_of(const limits_state& state, std::size_t slot);

/// Asks all hosts for their shares of the slots that this host is the broker of, when it is due.
void run_lease_round(limits_state& state, context& surroundings, const membership_state& members);

/// Lends this host's share of the slots asked for, where it is not lent to another broker.
void answer_share_request(limits_state& state, context& surroundings,
                          const membership_state& members, const host_identity& sender,
                          const share_request& request);

/// Takes shares in use that a lender granted.
void take_shares(limits_state& state, context& surroundings, const host_identity& sender,
                 const share_response& response);

/// Changes the size of this host's own share to `units`. With `since` before now it starts with the
/// tokens earned from then on.
void resize_own_share(limits_state& state, context& surroundings, std::uint32_t units,
                      instant since);

} // namespace chivevane::limits
