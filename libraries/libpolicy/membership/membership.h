#pragma once

#include "libpolicy/context.h"
#include "libpolicy/membership/membership_events.h"
#include "libpolicy/membership/membership_state.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

/// Who is there: hosts tell each other the rounds that every host has begun. Each host judges from
/// the age of a member's latest round alone, so that no host's word can declare another dead.
namespace chivevane::membership {

/// Starts registration and the search for peers.
void start(membership_state& state, context& surroundings);

/// Notices a pause of this host. Called with every event before it is handled.
void note_event(membership_state& state, context& surroundings);

/// Handles a host's account of itself, from the host or passed on.
void on_heartbeat(membership_state& state, context& surroundings, const heartbeat& news);

/// Handles a peer's view of the members.
void on_gossip(membership_state& state, context& surroundings, const host_identity& sender,
               const gossip& news);

/// Answers a probe.
void on_probe(membership_state& state, context& surroundings, const host_identity& sender,
              const probe& question);

/// Notes that the way to a member and back works.
void on_probe_ack(membership_state& state, context& surroundings, const host_identity& sender,
                  const probe_ack& answer);

/// Sends the accounts that a peer asks for.
void on_account_request(membership_state& state, context& surroundings,
                        const account_request& request);

/// Handles the store's answer to an operation of purpose `registration`.
void on_store_outcome(membership_state& state, context& surroundings, const store_outcome& outcome);

/// Judges the members and sends gossip and probes when they are due.
void on_timer(membership_state& state, context& surroundings);

/// Replaces what this host tells others about its own upstreams. Changes of load alone are told
/// less often than others.
void set_own_upstreams(membership_state& state, std::vector<upstream_summary> upstreams);

/// Sets the digest of the documents in force that others are told.
void set_documents_digest(membership_state& state, std::uint64_t digest);

/// Tells all peers that this host takes no new work.
void leave(membership_state& state, context& surroundings);

/// The member called `name`, dead ones included; null if it was never heard of.
const member* find_member(const membership_state& state, std::string_view name);

/// Whether new work may be sent to `peer`: it is alive and the way there and back works.
bool is_usable(const member& peer);

/// Whether this host was paused and has not heard since how things stand. Its view of the others
/// is out of date, and so is what it holds for a limited time.
bool is_out_of_touch(const membership_state& state);

/// Members other than this host that are neither dead nor leaving.
std::size_t count_live_peers(const membership_state& state);

/// When `on_timer` is due.
instant next_wakeup(const membership_state& state);

} // namespace chivevane::membership
