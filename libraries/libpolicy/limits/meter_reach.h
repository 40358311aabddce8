#pragma once

#include "libpolicy/membership/membership_state.h"
#include "libpolicy/reducer_context.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chivevane {

/// When a host was last heard and asked.
struct host_contact {
    instant m_heard_at;                ///< Time of its last datagram.
    std::optional<instant> m_asked_at; ///< Time of the first request since then, if any.
    instant m_last_asked_at;           ///< Time of the latest request.
};

/// Which hosts a meter reaches.
struct meter_reach {
    std::map<std::string, host_contact, std::less<>> m_contacts; ///< By host name.
    instant m_needed_until;                                      ///< Hosts are asked until then.
    instant m_next_round;                                        ///< Hosts are asked again then.
    instant m_next_update; ///< The share is computed again then.
    /// Hosts reached, this one included, divided by all possible ones: the lowest of some seconds.
    double m_share = 1;
    instant m_lowest_at; ///< When the share was last as low as `m_share`.
};

} // namespace chivevane

/// Finds out quickly which part of the fleet a meter reaches.
///
/// In a partitioned fleet each part has a meter of its own. Each grants the part of the rate that
/// corresponds to its part of the hosts, so that all meters together grant no more than the rate.
/// Gossip tells of a partition within seconds only, too late for a rate. So a meter asks the other
/// hosts itself while the tokens of an organisation run short; at other times the part is not
/// needed.
namespace chivevane::limits {

/// Records that a datagram of `host` has come.
void record_contact(meter_reach& reach, std::string_view host, instant now);

/// Records that `host` has left requests unanswered since `since`.
void record_no_answer(meter_reach& reach, std::string_view host, instant since);

/// Makes `ask_hosts` ask the other hosts for a while, as the tokens of an organisation run short.
void require_reach(meter_reach& reach, instant now);

/// Returns the hosts that this one reaches, itself included, divided by all that may be running. It
/// is the lowest share of some seconds: hosts that avoid a silent meter use another one that long.
double reached_share(meter_reach& reach, reducer_context& context, const membership_state& members);

/// Asks the hosts that were not heard recently, if it is time to. One that does not answer is asked
/// several times in short succession.
void ask_hosts(meter_reach& reach, reducer_context& context, const membership_state& members);

/// When `ask_hosts` is due.
instant next_asking(const meter_reach& reach);

} // namespace chivevane::limits
