#pragma once

#include "libbase/instant.h"
#include "libpolicy/limits/share.h"
#include "libwire/host_identity.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivevane {

/// This host's own share of one slot, while another host may use it.
struct lent_slot {
    host_identity m_broker;
    instant m_until; ///< The broker has stopped by then, whatever its clock's rate.
};

/// One round of requests to all hosts for their shares.
struct lease_round {
    std::uint64_t m_request = 0;
    instant m_sent_at;
};

/// The lending and borrowing of shares by slot.
struct share_lease_state {
    std::vector<std::optional<lent_slot>> m_lent{slot_count};
    std::vector<std::uint8_t> m_has_own_part = std::vector<std::uint8_t>(slot_count);
    std::vector<std::vector<std::string>> m_ranking{slot_count}; ///< Broker first, then stand-ins.
    std::vector<std::string> m_ranked_hosts;                     ///< What `m_ranking` is made of.
    std::map<std::string, instant, std::less<>> m_heard_at;      ///< Last share request, by host.
    std::map<std::string, instant, std::less<>> m_silent_until;  ///< Hosts that did not answer.
    std::deque<lease_round> m_rounds;                            ///< Those that may still count.
    std::uint64_t m_last_request = 0;
    instant m_next_round;
};

} // namespace chivevane
