#pragma once

#include "libpolicy/membership/membership_state.h"
#include "libpolicy/reducer_context.h"

#include <string_view>

namespace chivevane::membership {

/// Records a change of a member's status in the timeline and the log.
void record_status(reducer_context& context, const member& peer, std::string_view status);

/// Updates a member's status from the age of its latest round and from its own record, and records
/// changes other than those from or to `suspect` that do not end in `dead`.
void update_status(const membership_state& state, reducer_context& context, member& peer);

/// Merges the information that `peer` began gossip round `round` at the time `age` ago, with
/// `documents_digest_low` as the low half of its documents' digest. An earlier or equal round
/// changes nothing.
void merge_round(const membership_state& state, reducer_context& context, member& peer,
                 std::uint32_t round, std::uint32_t documents_digest_low, duration age = {});

} // namespace chivevane::membership
