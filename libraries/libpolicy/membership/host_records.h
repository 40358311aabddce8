#pragma once

#include "libpolicy/membership/membership_state.h"
#include "libpolicy/reducer_context.h"
#include "libwire/message.h"

#include <cstdint>
#include <span>

/// Exchange of host records: a host pushes its own record, and a host requests the records of which
/// gossip lists a newer version than its own copy.
namespace chivevane::membership {

/// Hash of a host's name and incarnation, which identifies one run of the host in gossip.
std::uint64_t key_of(const host_identity& identity);

/// Sends the record of `peer` to `address`, split into parts that fit into one datagram each.
void send_host_record(reducer_context& context, const member& peer, const host_address& address);

/// Sends this host's record to its peers that are not dead. In a large fleet those are the peers of
/// the own data centre and a few of each other one, which relay the record.
void push_own_record(membership_state& state, reducer_context& context);

/// Whether this host sends its record to `peer` directly: in a large fleet only inside its own data
/// centre.
bool is_record_receiver(const membership_state& state, const member& peer);

/// Sends `body` to the peers to which this host sends its record, except the relays.
void send_to_record_receivers(const membership_state& state, reducer_context& context,
                              const message& body);

/// Whether a received record changed what this host knows: `updated` means a newer version of a
/// known incarnation, `joined` a new host or a new incarnation.
enum class merge_outcome : std::uint8_t { unchanged, updated, joined };

/// Merges a host record, or a part of one, into the membership state.
merge_outcome merge_host_record(membership_state& state, reducer_context& context,
                                const host_record& received);

/// Requests host records from the host at `address`, except those requested within the retry
/// interval.
void request_host_records(membership_state& state, reducer_context& context,
                          const host_address& address, std::span<const std::uint64_t> keys);

} // namespace chivevane::membership
