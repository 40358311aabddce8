#pragma once

#include "libbase/instant.h"
#include "libpolicy/membership/departures.h"
#include "libpolicy/membership/member.h"
#include "libpolicy/membership/registration_state.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace chivevane {

/// The members of the fleet that this host knows, itself included, and the state of its rounds.
struct membership_state {
    host_record m_own_record; ///< The record that this host sends about itself.
    std::map<std::string, member, std::less<>> m_members; ///< By host name; includes this host.
    std::unordered_map<std::uint64_t, std::string> m_names_by_key; ///< Host names by `key_of`.
    /// Time of the last request of each host record, by `key_of`.
    std::unordered_map<std::uint64_t, instant> m_record_requests;
    instant m_started_at; ///< When this process started.
    instant m_next_round; ///< Time at which the next round begins.
    /// Number of rounds in which gossip lists all members, or those of other data centres if gossip
    /// is divided by data centre; see gossip_view.h.
    std::uint32_t m_rounds_per_view = 1;
    /// Number of rounds in which gossip lists the members of the own data centre, if it is divided.
    std::uint32_t m_local_rounds_per_view = 1;
    /// Number of datagrams that list the own data centre; 0 if gossip is not divided.
    std::uint32_t m_local_datagrams_per_view = 0;
    std::size_t m_local_entries_per_datagram = 1; ///< Members that each of these lists.
    /// Gossip datagrams to other data centres that are due. A fraction is kept for later rounds.
    double m_remote_datagrams_due = 0;
    instant m_next_load_push;             ///< Earliest time of the next push for load alone.
    bool m_has_urgent_change = false;     ///< The own record has a change beyond load.
    bool m_has_load_change = false;       ///< The load in the own record has changed.
    std::uint32_t m_pushes_left = 0;      ///< Rounds in which the own record is still pushed again.
    std::string m_probe_cursor;           ///< Name of the member probed last in turn.
    std::string m_gossip_cursor;          ///< Name of the member listed last in gossip.
    std::string m_remote_gossip_cursor;   ///< The same for gossip about other data centres.
    std::string m_outgoing_gossip_cursor; ///< The same for gossip to other data centres.
    /// Rounds in which this host still asks a peer for all members, from when it knows one. Gossip
    /// alone lists a large fleet in many rounds.
    std::uint32_t m_view_requests_left = 5;
    std::uint32_t m_new_member_sends = 0;   ///< Own records sent to new members in this round.
    std::optional<instant> m_last_event_at; ///< Detects a pause of this host.
    /// Nonce of the probes after a pause of this host; empty once one of them is answered.
    std::optional<std::uint64_t> m_resume_nonce;
    std::uint64_t m_last_nonce = 0; ///< The last nonce that was assigned; it only grows.
    /// Begin of the latest round of this host that other hosts are known to have learnt of.
    std::optional<instant> m_own_round_seen_at;
    registration_state m_registration;
    std::size_t m_possible_hosts = 0; ///< Hosts that may be running; see possible_hosts.h.
    departure_table m_departures;
};

} // namespace chivevane
