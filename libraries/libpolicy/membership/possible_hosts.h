#pragma once

#include "libpolicy/membership/membership_state.h"

#include <cstddef>
#include <string_view>
#include <vector>

/// The hosts that may be running, whether or not this host reaches them.
///
/// A host that is cut off looks like one that is dead, and goes on working. A share that each host
/// takes of a limit over all hosts must be a share of all that may be running. A host is not
/// counted once it announced that it leaves, or once the store does not list it any more: its
/// registration ends some time after its last renewal.
namespace chivevane::membership {

/// A host that may be running.
struct possible_host {
    std::string_view m_name;
    const host_address* m_address = nullptr;
    const member* m_member = nullptr; ///< Null if it is only known as registered.
};

/// Returns the hosts other than this one that may be running.
std::vector<possible_host> possible_hosts(const membership_state& state);

/// The number of hosts that may be running, this one included, as of the beginning of this round.
std::size_t count_possible_hosts(const membership_state& state);

/// Updates `count_possible_hosts`. While a host that may be running is dead for this host, the list
/// of registered hosts is read again from time to time.
void update_possible_hosts(membership_state& state);

} // namespace chivevane::membership
