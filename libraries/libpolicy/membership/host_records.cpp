#include "libpolicy/membership/host_records.h"

#include "libbase/digest.h"
#include "libpolicy/membership/peers.h"
#include "libpolicy/membership/timing.h"

#include <algorithm>

namespace chivevane::membership {

namespace {

/// Largest size in bytes of the upstream summaries in one part of a host record. The rest of the
/// datagram holds names, addresses and the signature.
constexpr std::size_t record_part_size = 900;

/// Size in bytes of an encoded upstream summary without its two names.
constexpr std::size_t summary_overhead = 18;

/// Shortest time between two requests for the same host record: several round trips between data
/// centres.
constexpr duration request_retry_interval = 300ms;

/// Largest number of host records requested in one datagram.
constexpr std::size_t keys_per_request = 40;

std::size_t size_in_bytes(const upstream_summary& summary)
{
    return summary_overhead + summary.m_endpoint.size() + summary.m_service.size();
}

/// Returns the part of `record` that begins at the upstream with index `first`.
host_record part_of(const host_record& record, std::size_t first)
{
    host_record part{record.m_identity, record.m_datacentre, record.m_address, record.m_status};
    part.m_documents_digest = record.m_documents_digest;
    part.m_version = record.m_version;
    part.m_round = record.m_round;
    part.m_first_upstream = static_cast<std::uint16_t>(first);
    part.m_upstream_count = static_cast<std::uint16_t>(record.m_upstreams.size());
    std::size_t size = 0;
    for (auto index = first; index < record.m_upstreams.size(); ++index) {
        size += size_in_bytes(record.m_upstreams[index]);
        if (size > record_part_size && !part.m_upstreams.empty()) {
            break;
        }
        part.m_upstreams.push_back(record.m_upstreams[index]);
    }
    return part;
}

/// Adds `part` to the collected parts of the same version and returns the complete record, or
/// nothing while parts are missing.
std::optional<host_record> assemble_record(std::vector<host_record>& parts, const host_record& part)
{
    std::erase_if(parts, [&part](const host_record& other) {
        return other.m_identity != part.m_identity || other.m_version != part.m_version ||
               other.m_first_upstream == part.m_first_upstream;
    });
    parts.push_back(part);
    std::sort(parts.begin(), parts.end(), [](const host_record& left, const host_record& right) {
        return left.m_first_upstream < right.m_first_upstream;
    });
    auto complete = parts.front();
    for (auto next = parts.begin() + 1; next != parts.end(); ++next) {
        if (next->m_first_upstream == complete.m_upstreams.size()) {
            const auto& more = next->m_upstreams;
            complete.m_upstreams.insert(complete.m_upstreams.end(), more.begin(), more.end());
        }
    }
    if (complete.m_first_upstream != 0 || complete.m_upstreams.size() < part.m_upstream_count) {
        return std::nullopt;
    }
    parts.clear();
    return complete;
}

peer_list record_receivers(const membership_state& state)
{
    auto peers = live_peers(state);
    std::erase_if(peers,
                  [&state](const member* peer) { return !is_record_receiver(state, *peer); });
    return peers;
}

/// Whether `received` is of an earlier incarnation than `known`, or not of a later version.
bool is_outdated(const host_record& received, const host_record& known)
{
    const auto new_incarnation = received.m_identity.m_incarnation;
    const auto known_incarnation = known.m_identity.m_incarnation;
    return new_incarnation < known_incarnation ||
           (new_incarnation == known_incarnation && received.m_version <= known.m_version);
}

} // namespace

std::uint64_t key_of(const host_identity& identity)
{
    return stable_hash(identity.m_name, identity.m_incarnation);
}

void send_host_record(reducer_context& context, const member& peer, const host_address& address)
{
    auto record = peer.m_record;
    record.m_round = peer.m_round;
    record.m_documents_digest = peer.m_documents_digest_low;
    std::size_t next = 0;
    do {
        auto part = part_of(record, next);
        next += part.m_upstreams.size();
        emit(context, send_datagram{address, std::move(part)});
    } while (next < record.m_upstreams.size());
}

void push_own_record(membership_state& state, reducer_context& context)
{
    const auto& self = state.m_members.at(state.m_own_record.m_identity.m_name);
    for (const auto* const peer : record_receivers(state)) {
        send_host_record(context, self, peer->m_record.m_address);
    }
    if (!is_large_fleet(state)) {
        return;
    }
    for (const auto* const relay :
         sample_other_datacentres(state, context, relays_per_datacentre)) {
        send_host_record(context, self, relay->m_record.m_address);
    }
}

bool is_record_receiver(const membership_state& state, const member& peer)
{
    return !is_large_fleet(state) || is_local(state, peer);
}

void send_to_record_receivers(const membership_state& state, reducer_context& context,
                              const message& body)
{
    for (const auto* const peer : record_receivers(state)) {
        emit(context, send_datagram{peer->m_record.m_address, body});
    }
}

merge_outcome merge_host_record(membership_state& state, reducer_context& context,
                                const host_record& received)
{
    const auto& identity = received.m_identity;
    const auto known = state.m_members.find(identity.m_name);
    const bool is_known = known != state.m_members.end();
    if (is_known && is_outdated(received, known->second.m_record)) {
        return merge_outcome::unchanged;
    }
    const bool is_same_incarnation =
        is_known && known->second.m_record.m_identity.m_incarnation == identity.m_incarnation;
    std::optional<host_record> complete;
    if (is_known) {
        complete = assemble_record(known->second.m_record_parts, received);
    }
    else if (received.m_upstream_count == received.m_upstreams.size()) {
        complete = received;
    }
    else if (received.m_first_upstream == 0) {
        // The first part of a longer record makes the member known. Version 0 makes this host
        // request the complete record when gossip lists its version.
        complete = received;
        complete->m_version = 0;
    }
    if (!complete) {
        return merge_outcome::unchanged;
    }
    if (is_same_incarnation) {
        known->second.m_record = std::move(*complete);
        return merge_outcome::updated;
    }
    if (is_known) {
        state.m_names_by_key.erase(key_of(known->second.m_record.m_identity));
    }
    state.m_names_by_key[key_of(identity)] = identity.m_name;
    const auto status = complete->m_status;
    auto& entry = state.m_members[identity.m_name];
    entry = {std::move(*complete), status, context.m_now, received.m_round,
             static_cast<std::uint32_t>(received.m_documents_digest)};
    return merge_outcome::joined;
}

void request_host_records(membership_state& state, reducer_context& context,
                          const host_address& address, std::span<const std::uint64_t> keys)
{
    host_record_request request{context.m_settings.m_address};
    for (const auto key : keys) {
        auto& requested_at = state.m_record_requests[key];
        const bool is_recent =
            requested_at != instant{} && context.m_now - requested_at < request_retry_interval;
        if (is_recent) {
            continue;
        }
        requested_at = context.m_now;
        request.m_keys.push_back(key);
        if (request.m_keys.size() == keys_per_request) {
            emit(context, send_datagram{address, request});
            request.m_keys.clear();
        }
    }
    if (!request.m_keys.empty()) {
        emit(context, send_datagram{address, std::move(request)});
    }
}

} // namespace chivevane::membership
