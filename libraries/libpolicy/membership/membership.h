#pragma once

#include "libpolicy/context.h"
#include "libpolicy/membership/membership_events.h"
#include "libpolicy/membership/membership_state.h"

#include <optional>
#include <string_view>
#include <vector>

namespace chivevane::membership {

/// Starts registration and the search for peers.
void start(membership_state& state, context& surroundings);

/// Handles a peer's account of itself.
void on_heartbeat(membership_state& state, context& surroundings, const heartbeat& news);

/// Handles the store's answer to an operation of purpose `registration`.
void on_store_outcome(membership_state& state, context& surroundings, const store_outcome& outcome);

/// Sends heartbeats and expires silent members when they are due.
void on_timer(membership_state& state, context& surroundings);

/// Replaces what this host tells others about its own upstreams.
void set_own_upstreams(membership_state& state, std::vector<upstream_summary> upstreams);

/// Sets the digest of the documents in force that heartbeats carry.
void set_documents_digest(membership_state& state, std::uint64_t digest);

/// Tells all peers that this host takes no new work.
void leave(membership_state& state, context& surroundings);

/// The member called `name`, dead ones included; null if it was never heard of.
const member* find_member(const membership_state& state, std::string_view name);

/// Whether new work may be sent to `peer`: it is alive and this host hears it.
bool is_usable(const member& peer);

/// When `on_timer` is due.
instant next_wakeup(const membership_state& state);

} // namespace chivevane::membership
