#pragma once

#include <span>
#include <string>
#include <string_view>

namespace chivevane {

/// Returns the member that owns `key` by rendezvous (highest random weight) hashing. All hosts that
/// know the same members compute the same owner, and adding or removing a member moves only the
/// keys of that member. Returns an empty string if there are no members.
std::string_view rendezvous_owner(std::string_view key, std::span<const std::string> members);

} // namespace chivevane
