#include "libpolicy/configuration/document_sync.h"

#include "libpolicy/configuration/configuration.h"
#include "libpolicy/configuration/document_fetch.h"
#include "libpolicy/configuration/documents_in_force.h"
#include "libpolicy/membership/membership.h"

#include <algorithm>

namespace chivevane::configuration {

namespace {

/// Time until a request for revisions is repeated whose answer is missing.
constexpr duration request_retry_interval = 400ms;

/// Largest number of revisions in one datagram. Each takes up to 64 bytes for the name and 18 bytes
/// for numbers.
constexpr std::size_t revisions_per_part = 14;

/// Largest number of peers to which a host announces a document that it got from the store or from
/// another data centre.
constexpr std::size_t direct_announcement_limit = 64;

/// Number of peers to which a host announces a document that it got from a peer, in fleets with
/// more than `direct_announcement_limit` peers.
constexpr std::size_t relay_announcement_limit = 4;

/// Number of peers without newer documents that make a host ready without the store. In small
/// fleets fewer are enough.
constexpr std::size_t peers_for_readiness = 3;

/// Time after the start in which a host waits for the store and looks for peers, before it relies
/// on peers alone.
constexpr duration peer_readiness_delay = 2s;

/// Records that `peer` has no newer documents than this host.
void confirm(configuration_state& state, reducer_context& context, const std::string& peer)
{
    state.m_confirmed_at = context.m_now;
    if (!state.m_is_ready) {
        state.m_synced_peers.insert(peer);
    }
}

/// Requests the revisions of the documents that differ on `peer`, unless a recent request is
/// pending.
void request_revisions(configuration_state& state, reducer_context& context,
                       const std::string& peer, const host_address& address)
{
    auto& request = state.m_revisions_requests[peer];
    if (request.m_id != 0 && context.m_now - request.m_requested_at < request_retry_interval) {
        return;
    }
    request = {++state.m_last_request_id, context.m_now, {}};
    emit(context,
         send_datagram{address, document_revisions_request{context.m_settings.m_address,
                                                           request.m_id, state.m_group_digests}});
}

/// Records a part of an answer that held nothing newer. Once all parts are recorded, the documents
/// in force are confirmed.
void confirm_part(configuration_state& state, reducer_context& context, const std::string& peer,
                  const document_revisions& revisions)
{
    const auto request = state.m_revisions_requests.find(peer);
    if (request == state.m_revisions_requests.end() ||
        request->second.m_id != revisions.m_request_id) {
        return;
    }
    auto& parts = request->second.m_parts;
    parts.insert(revisions.m_part);
    if (parts.size() >= revisions.m_parts) {
        state.m_revisions_requests.erase(request);
        confirm(state, context, peer);
    }
}

/// Returns the addresses of the peers that are not dead. For a document from another data centre,
/// they are limited to this host's data centre.
std::vector<host_address> addresses_of_peers(const membership_state& members,
                                             announcement_source source)
{
    std::vector<host_address> addresses;
    for (const auto& [name, peer] : members.m_members) {
        const bool is_self = name == members.m_own_record.m_identity.m_name;
        const bool is_wanted = source != announcement_source::other_datacentre ||
                               peer.m_record.m_datacentre == members.m_own_record.m_datacentre;
        if (!is_self && is_wanted && peer.m_status != member_status::dead) {
            addresses.push_back(peer.m_record.m_address);
        }
    }
    return addresses;
}

/// Keeps `count` randomly chosen addresses and drops the others.
void sample_addresses(std::vector<host_address>& addresses, std::size_t count,
                      reducer_context& context)
{
    for (std::size_t index = 0; index < count && index < addresses.size(); ++index) {
        const auto left = static_cast<std::uint32_t>(addresses.size() - index);
        std::swap(addresses[index], addresses[index + context.m_random(left)]);
    }
    addresses.resize(std::min(addresses.size(), count));
}

} // namespace

void compare_digest(configuration_state& state, reducer_context& context, const std::string& peer,
                    const host_address& address, std::uint32_t digest)
{
    if (digest == static_cast<std::uint32_t>(digest_of(state))) {
        confirm(state, context, peer);
        return;
    }
    request_revisions(state, context, peer, address);
}

void answer_revisions_request(const configuration_state& state, reducer_context& context,
                              const document_revisions_request& request)
{
    std::vector<document_revision> differing;
    for (const auto& [name, held] : state.m_documents) {
        const auto group = group_of(name);
        if (state.m_group_digests[group] != request.m_group_digests[group]) {
            differing.push_back(revision_of(held.m_stored));
        }
    }
    const auto parts =
        std::max<std::size_t>(1, (differing.size() + revisions_per_part - 1) / revisions_per_part);
    for (std::size_t part = 0; part < parts; ++part) {
        const auto first = part * revisions_per_part;
        const auto last = std::min(differing.size(), first + revisions_per_part);
        emit(context, send_datagram{request.m_address,
                                    document_revisions{
                                        {differing.begin() + static_cast<std::ptrdiff_t>(first),
                                         differing.begin() + static_cast<std::ptrdiff_t>(last)},
                                        request.m_request_id,
                                        static_cast<std::uint16_t>(part),
                                        static_cast<std::uint16_t>(parts)}});
    }
}

void handle_revisions(configuration_state& state, reducer_context& context, const std::string& peer,
                      const host_address& address, peer_locality locality,
                      const document_revisions& revisions)
{
    bool is_up_to_date = true;
    for (const auto& theirs : revisions.m_revisions) {
        if (is_newer(state, theirs)) {
            is_up_to_date = false;
            const bool may_wait = locality == peer_locality::other_datacentre && state.m_is_ready;
            may_wait ? defer_fetch(state, context, address, theirs)
                     : fetch(state, context, {address, locality}, theirs);
        }
    }
    if (is_up_to_date && revisions.m_request_id != 0) {
        confirm_part(state, context, peer, revisions);
    }
}

void send_announcements(configuration_state& state, reducer_context& context,
                        const membership_state& members)
{
    std::vector<pending_announcement> due;
    due.swap(state.m_announcements);
    for (const auto& announcement : due) {
        auto addresses = addresses_of_peers(members, announcement.m_source);
        const bool is_small_fleet = addresses.size() <= direct_announcement_limit;
        const bool is_from_peer = announcement.m_source == announcement_source::peer;
        if (is_small_fleet && is_from_peer) {
            continue; // The host that got the document first announced it to all peers.
        }
        const auto count = is_from_peer ? relay_announcement_limit : direct_announcement_limit;
        sample_addresses(addresses, count, context);
        const auto& held = state.m_documents.at(announcement.m_document);
        for (const auto& address : addresses) {
            emit(context, send_datagram{address, document_revisions{{revision_of(held.m_stored)}}});
        }
    }
}

void check_readiness(configuration_state& state, reducer_context& context,
                     const membership_state& members)
{
    if (state.m_is_ready || context.m_now - state.m_started_at < peer_readiness_delay) {
        return;
    }
    const auto& settings = context.m_settings;
    const auto& seeds = settings.m_seeds;
    const auto other_seeds = static_cast<std::size_t>(
        std::count_if(seeds.begin(), seeds.end(), [&settings](const host_address& seed) {
            return seed != settings.m_address;
        }));
    const auto wanted =
        std::max({std::size_t{1}, (other_seeds + 1) / 2, membership::count_live_peers(members)});
    if (state.m_synced_peers.size() >= std::min(wanted, peers_for_readiness)) {
        state.m_is_ready = true;
        state.m_synced_peers.clear();
        emit(context, record_event{"ready-by-peers", {}, record_target::timeline_and_log});
    }
}

} // namespace chivevane::configuration
