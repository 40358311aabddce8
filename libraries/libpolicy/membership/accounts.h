#pragma once

#include "libpolicy/context.h"
#include "libpolicy/membership/membership_state.h"

#include <cstdint>
#include <span>

/// How hosts learn each other's accounts: pushed by their owner, or asked for by version.
namespace chivevane::membership {

/// Names one run of a host in gossip.
std::uint64_t key_of(const host_identity& identity);

/// Sends the account of `peer` to `address`, split to fit into datagrams.
void send_account(context& surroundings, const member& peer, const host_address& address);

/// Sends this host's account to its peers: all of them, or as many as `direct_push_limit`.
void push_own_account(membership_state& state, context& surroundings);

/// Takes in a part of an account and returns whether a member is now known better than before.
enum class account_effect : std::uint8_t { none, updated, joined };
account_effect adopt_account(membership_state& state, context& surroundings, const heartbeat& news);

/// Asks the host at `address` for accounts, leaving out those asked for a moment ago.
void request_accounts(membership_state& state, context& surroundings, const host_address& address,
                      std::span<const std::uint64_t> keys);

} // namespace chivevane::membership
