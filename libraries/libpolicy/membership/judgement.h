#pragma once

#include "libpolicy/context.h"
#include "libpolicy/membership/membership_state.h"

#include <string_view>

namespace chivevane::membership {

/// Records a change in what this host believes of a member.
void record_status(context& surroundings, const member& peer, std::string_view status);

/// Renews a member's status from the age of its latest round and its own word.
void judge(const membership_state& state, context& surroundings, member& peer);

/// Takes in that `peer` had begun round `counter` `age` ago, with this digest of its documents.
void note_round(const membership_state& state, context& surroundings, member& peer,
                std::uint32_t counter, std::uint32_t documents, duration age = {});

} // namespace chivevane::membership
