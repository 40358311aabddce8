#pragma once

#include "libbase/instant.h"
#include "libpolicy/membership/member.h"
#include "libpolicy/membership/registration_state.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace chivevane {

/// All hosts that this host knows, itself included.
struct membership_state {
    heartbeat m_self;
    std::map<std::string, member, std::less<>> m_members;    ///< By host name; includes this host.
    std::unordered_map<std::uint64_t, std::string> m_by_key; ///< Names by liveness key.
    std::unordered_map<std::uint64_t, instant> m_requested;  ///< Accounts asked for, by key.
    instant m_next_heartbeat;
    /// Datagrams that tell of all members: the timeouts for silent members are as many times
    /// longer.
    std::uint32_t m_views = 1;
    instant m_next_load_push;         ///< When changes of load are told next.
    bool m_has_urgent_change = false; ///< The account is to be sent at once.
    bool m_has_load_change = false;
    std::uint32_t m_repeats = 0;       ///< Rounds in which the account is still to be sent again.
    std::string m_probe_cursor;        ///< The member probed last.
    std::string m_window_cursor;       ///< The member told of last, while not all fit.
    std::uint32_t m_introductions = 0; ///< Own accounts sent to new members in this round.
    std::optional<instant> m_last_event;
    std::optional<std::uint64_t> m_resume_nonce; ///< Set after a pause until a probe is answered.
    std::uint64_t m_last_nonce = 0;
    std::optional<instant> m_heard_by_others; ///< Begin of the latest round that others know of.
    registration_state m_registration;
};

} // namespace chivevane
