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

/// A lease of this host's own share of one slot to a broker.
struct lent_slot {
    host_identity m_broker;
    instant m_until; ///< The broker's lease has expired by then, whatever its clock rate.
};

/// One round of share lease requests, which a broker sends to all hosts.
struct lease_round {
    std::uint64_t m_request_id = 0; ///< Id of the share lease request.
    instant m_sent_at;
};

/// State of the share leases, for this host as a holder and as a broker.
struct share_lease_state {
    std::vector<std::optional<lent_slot>> m_lent{slot_count}; ///< Leases of the own share, by slot.
    /// By slot, 1 if this host's own share is a part of its pool.
    std::vector<std::uint8_t> m_has_own_part = std::vector<std::uint8_t>(slot_count);
    /// Host names by slot: the broker first, then the hosts that replace it.
    std::vector<std::vector<std::string>> m_ranking{slot_count};
    std::vector<std::string> m_ranked_hosts; ///< Broker candidates that `m_ranking` is based on.
    /// When each host last sent a share lease request, by host name.
    std::map<std::string, instant, std::less<>> m_share_lease_request_at;
    /// Brokers that did not answer a loan request are ranked last before this time, by host name.
    std::map<std::string, instant, std::less<>> m_silent_until;
    std::deque<lease_round> m_rounds;    ///< Rounds whose answers may still be used, oldest first.
    std::uint64_t m_last_request_id = 0; ///< The share lease request id assigned last.
    instant m_next_round;
};

} // namespace chivevane
