#pragma once

#include <span>
#include <string>
#include <string_view>

namespace chivevane {

/// The member that owns `key` by highest-random-weight hashing. All hosts that see the same members
/// agree, and a change of one member moves only the keys of that member. Empty without members.
std::string_view rendezvous_owner(std::string_view key, std::span<const std::string> members);

} // namespace chivevane
