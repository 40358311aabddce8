#pragma once

#include "libpolicy/membership/membership_events.h"
#include "libpolicy/membership/membership_state.h"
#include "libpolicy/reducer_context.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

/// Gossip membership with failure detection. Every host counts its rounds, and hosts gossip the
/// latest round that they know of each host. A host decides from the age of a member's latest round
/// alone whether the member is alive, so that no host can declare another one dead.
namespace chivevane::membership {

/// Starts registration and the search for peers.
void start(membership_state& state, reducer_context& context);

/// Detects a pause of this host. It is called for every event before the event is handled.
void detect_pause(membership_state& state, reducer_context& context);

/// Handles the record of a host, which the host itself or another one sent.
void on_host_record(membership_state& state, reducer_context& context, const host_identity& sender,
                    const host_record& record);

/// Handles a peer's view of the members and requests the records that are missing or outdated here.
void on_gossip(membership_state& state, reducer_context& context, const host_identity& sender,
               const gossip& view);

/// Answers a probe.
void on_probe(membership_state& state, reducer_context& context, const host_identity& sender,
              const probe& received);

/// Handles the answer to a probe, which shows that the network path to a member and back works.
void on_probe_ack(membership_state& state, reducer_context& context, const host_identity& sender,
                  const probe_ack& answer);

/// Sends the host records that a peer requests.
void on_host_record_request(membership_state& state, reducer_context& context,
                            const host_record_request& request);

/// Handles the store's answer to an operation of purpose `registration`.
void on_store_outcome(membership_state& state, reducer_context& context,
                      const store_outcome& outcome);

/// Pushes changes of this host's record, and at the beginning of a round updates the members'
/// status and sends probes, gossip and store calls that are due.
void on_timer(membership_state& state, reducer_context& context);

/// Replaces the upstreams in this host's record. Changes of load alone are pushed less often than
/// others.
void set_own_upstreams(membership_state& state, std::vector<upstream_summary> upstreams);

/// Sets the digest of the documents in force that this host sends to others.
void set_documents_digest(membership_state& state, std::uint64_t digest);

/// Announces to the peers that this host takes no new work, and revokes its registration.
void leave(membership_state& state, reducer_context& context);

/// Returns the member called `name`, dead ones included; null if it is unknown.
const member* find_member(const membership_state& state, std::string_view name);

/// Whether new work may be sent to `peer`: it is alive and the network path to it and back works.
bool is_usable(const member& peer);

/// Whether this host was paused and no peer has answered a probe since. Its view of the others is
/// out of date, and leases and other state with a limited lifetime may have expired.
bool has_stale_view(const membership_state& state);

/// Returns the number of members other than this host that are neither dead nor leaving.
std::size_t count_live_peers(const membership_state& state);

/// Whether this process knows most hosts that are registered, or has had time to. Until then it
/// cannot tell which host a duty falls to.
bool is_view_complete(const membership_state& state, instant now);

/// Returns the time at which `on_timer` is due.
instant next_wakeup(const membership_state& state);

} // namespace chivevane::membership
