#pragma once

#include "libbase/instant.h"
#include "libwire/recovery_messages.h"
#include "libwire/upstream_id.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string_view>
#include <vector>

namespace chivevane {

struct membership_state;
struct reducer_context;

/// The latest run of an upstream of which a departure is known.
struct departure {
    std::uint64_t m_run = 0;
    upstream_phase m_phase = upstream_phase::draining; ///< `serving` if a later run replaced it.
    instant m_learnt_at;                               ///< When the host of the upstream learnt it.
    std::uint32_t m_sends_left = 0;                    ///< Reports to the peers that are due.
};

/// The departures of upstreams on any host that this host remembers.
struct departure_table {
    std::map<upstream_id, departure> m_departures;
};

} // namespace chivevane

/// Remembers which runs of upstreams have left or are leaving.
///
/// An upstream tells only the process beside it that it leaves, and may serve on for many seconds.
/// If that process restarts, a delayed heartbeat looks like that of an upstream in service. So the
/// process reports each departure to its peers, which keep it, send nothing more to the upstream,
/// and return it to a process that has just started; see recovery.h.
namespace chivevane::membership {

/// How long a departure is remembered. It is far longer than an upstream goes on after it said that
/// it leaves, and than a heartbeat may be delayed.
constexpr duration departure_lifetime = 120s;

/// Number of departures that a host remembers. At the limit the oldest one is evicted.
constexpr std::size_t max_departures = 4096;

/// Records that a run of an upstream on this host left or is leaving, and reports it to the peers.
void record_departure(membership_state& state, reducer_context& context, std::string_view endpoint,
                      std::uint64_t run);

/// Reports a departure to the host called `receiver`, unless `record_departure` reports it there.
/// The answers of an upstream that leaves reach hosts of other data centres in a large fleet, too.
void report_departure_to(const membership_state& state, reducer_context& context,
                         std::string_view receiver, std::string_view endpoint);

/// Records that a run of an upstream on this host is serving. It is reported to the peers if they
/// know an earlier run as departed.
void record_arrival(membership_state& state, reducer_context& context, std::string_view endpoint,
                    std::uint64_t run);

/// Merges departures that a peer reported. The latest run counts; of one run the departure counts.
void merge_departures(membership_state& state, const reducer_context& context,
                      std::span<const departure_entry> entries);

/// Whether the latest run known of this upstream has departed.
bool is_departed(const membership_state& state, const upstream_id& upstream);

/// Whether this run of an upstream, or a later one, has departed.
bool is_departed_run(const membership_state& state, const upstream_id& upstream, std::uint64_t run);

/// All departures that this host remembers, as they are sent to others.
std::vector<departure_entry> list_departures(const membership_state& state,
                                             const reducer_context& context);

/// Reports the departures that are to be sent again to the peers, and forgets old ones. It is
/// called in each round, so that the loss of a single datagram does not matter.
void maintain_departures(membership_state& state, reducer_context& context);

} // namespace chivevane::membership
