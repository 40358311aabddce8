#include "libpolicy/configuration/document_sync.h"

#include "libpolicy/configuration/configuration.h"
#include "libpolicy/configuration/documents_in_force.h"
#include "libpolicy/membership/membership.h"

#include <algorithm>

namespace chivevane::configuration {

namespace {

/// Time until a peer is asked again whose answer is missing.
constexpr duration question_repeat = 400ms;

/// Time until a document is fetched again whose copy did not come: 1 MB at 10 Mbit/s.
constexpr duration fetch_repeat = 1s;

/// Wait for a peer of this data centre to have a document: several round trips to the store and
/// between hosts.
constexpr duration far_fetch_delay = 100ms;

/// Spread of that wait, in which the first to fetch it tells the others of its data centre.
constexpr duration far_fetch_spread = 400ms;

/// Revisions in one datagram: 64 bytes of name and 18 of numbers each at most.
constexpr std::size_t revisions_per_part = 14;

/// Peers told directly by a host that has a document first.
constexpr std::size_t first_announcements = 64;

/// Peers that a host passes a revision on to in fleets larger than that.
constexpr std::size_t relayed_announcements = 4;

/// Peers that must have nothing newer before a host relies on them instead of the store.
constexpr std::size_t peers_for_readiness = 3;

/// Time that a new host gives the store and the search for peers before it relies on peers.
constexpr duration peer_readiness_delay = 2s;

void confirm(configuration_state& state, context& surroundings, const std::string& peer)
{
    state.m_confirmed_at = surroundings.m_now;
    if (!state.m_is_ready) {
        state.m_synced_peers.insert(peer);
    }
}

void ask(configuration_state& state, context& surroundings, const std::string& peer,
         const host_address& address)
{
    auto& question = state.m_questions[peer];
    if (question.m_id != 0 && surroundings.m_now - question.m_asked_at < question_repeat) {
        return;
    }
    question = {++state.m_last_question, surroundings.m_now, {}};
    emit(surroundings,
         send_datagram{address, document_question{surroundings.m_settings.m_address, question.m_id,
                                                  state.m_group_digests}});
}

void fetch(configuration_state& state, context& surroundings, const host_address& address,
           peer_place place, const document_revision& wanted)
{
    const auto pending = state.m_fetches.find(wanted.m_name);
    const bool is_under_way = pending != state.m_fetches.end() &&
                              pending->second.m_wanted.m_revision >= wanted.m_revision &&
                              surroundings.m_now - pending->second.m_asked_at < fetch_repeat;
    if (is_under_way) {
        return;
    }
    state.m_fetches[wanted.m_name] = {wanted, surroundings.m_now, place};
    emit(surroundings, fetch_document{address, wanted.m_name});
}

/// Remembers to fetch `wanted` from another data centre. A newer revision waits no longer than the
/// one that it replaces, so that quick changes do not put off each other.
void defer_fetch(configuration_state& state, context& surroundings, const host_address& address,
                 const document_revision& wanted)
{
    if (const auto found = state.m_deferred.find(wanted.m_name); found != state.m_deferred.end()) {
        if (found->second.m_wanted.m_revision < wanted.m_revision) {
            found->second.m_wanted = wanted;
            found->second.m_from = address;
        }
        return;
    }
    const auto wait = far_fetch_delay + from_seconds(to_seconds(far_fetch_spread) *
                                                     uniform_fraction(surroundings.m_random));
    state.m_deferred[wanted.m_name] = {wanted, address, surroundings.m_now + wait};
}

/// Notes a part of an answer that held nothing newer; the last one confirms the documents.
void note_clean_part(configuration_state& state, context& surroundings, const std::string& peer,
                     const document_revisions& revisions)
{
    const auto question = state.m_questions.find(peer);
    if (question == state.m_questions.end() || question->second.m_id != revisions.m_question) {
        return;
    }
    auto& parts = question->second.m_parts;
    parts.insert(revisions.m_part);
    if (parts.size() >= revisions.m_parts) {
        state.m_questions.erase(question);
        confirm(state, surroundings, peer);
    }
}

/// The peers that may be told: all, or those of this data centre.
std::vector<host_address> addresses_of_peers(const membership_state& members,
                                             announcement_kind kind)
{
    std::vector<host_address> addresses;
    for (const auto& [name, peer] : members.m_members) {
        const bool is_self = name == members.m_self.m_identity.m_name;
        const bool is_wanted = kind != announcement_kind::imported ||
                               peer.m_latest.m_datacentre == members.m_self.m_datacentre;
        if (!is_self && is_wanted && peer.m_status != member_status::dead) {
            addresses.push_back(peer.m_latest.m_address);
        }
    }
    return addresses;
}

/// Moves `count` random addresses to the front and drops the others.
void choose_some(std::vector<host_address>& addresses, std::size_t count, context& surroundings)
{
    for (std::size_t place = 0; place < count && place < addresses.size(); ++place) {
        const auto left = static_cast<std::uint32_t>(addresses.size() - place);
        std::swap(addresses[place], addresses[place + surroundings.m_random(left)]);
    }
    addresses.resize(std::min(addresses.size(), count));
}

} // namespace

void compare_digest(configuration_state& state, context& surroundings, const std::string& peer,
                    const host_address& address, std::uint32_t digest)
{
    if (digest == static_cast<std::uint32_t>(digest_of(state))) {
        confirm(state, surroundings, peer);
        return;
    }
    ask(state, surroundings, peer, address);
}

void answer_question(const configuration_state& state, context& surroundings,
                     const document_question& question)
{
    std::vector<document_revision> differing;
    for (const auto& [name, held] : state.m_documents) {
        const auto group = group_of(name);
        if (state.m_group_digests[group] != question.m_group_digests[group]) {
            differing.push_back(revision_of(held.m_stored));
        }
    }
    const auto parts =
        std::max<std::size_t>(1, (differing.size() + revisions_per_part - 1) / revisions_per_part);
    for (std::size_t part = 0; part < parts; ++part) {
        const auto first = part * revisions_per_part;
        const auto last = std::min(differing.size(), first + revisions_per_part);
        emit(surroundings,
             send_datagram{
                 question.m_address,
                 document_revisions{{differing.begin() + static_cast<std::ptrdiff_t>(first),
                                     differing.begin() + static_cast<std::ptrdiff_t>(last)},
                                    question.m_question,
                                    static_cast<std::uint16_t>(part),
                                    static_cast<std::uint16_t>(parts)}});
    }
}

void take_revisions(configuration_state& state, context& surroundings, const std::string& peer,
                    const host_address& address, peer_place place,
                    const document_revisions& revisions)
{
    bool is_clean = true;
    for (const auto& theirs : revisions.m_revisions) {
        if (is_newer(state, theirs)) {
            is_clean = false;
            const bool may_wait = place == peer_place::other_datacentre && state.m_is_ready;
            may_wait ? defer_fetch(state, surroundings, address, theirs)
                     : fetch(state, surroundings, address, place, theirs);
        }
    }
    if (is_clean && revisions.m_question != 0) {
        note_clean_part(state, surroundings, peer, revisions);
    }
}

void begin_deferred_fetches(configuration_state& state, context& surroundings)
{
    std::erase_if(state.m_deferred, [&](const auto& entry) {
        const auto& [name, each] = entry;
        const bool is_due = surroundings.m_now >= each.m_at;
        if (is_due && is_newer(state, each.m_wanted)) {
            fetch(state, surroundings, each.m_from, peer_place::other_datacentre, each.m_wanted);
        }
        return is_due;
    });
}

void send_announcements(configuration_state& state, context& surroundings,
                        const membership_state& members)
{
    std::vector<pending_announcement> due;
    due.swap(state.m_announcements);
    for (const auto& announcement : due) {
        auto addresses = addresses_of_peers(members, announcement.m_kind);
        const bool is_small_fleet = addresses.size() <= first_announcements;
        const bool is_relayed = announcement.m_kind == announcement_kind::relayed;
        if (is_small_fleet && is_relayed) {
            continue; // The first bearer told everybody.
        }
        const auto count = is_relayed ? relayed_announcements : first_announcements;
        choose_some(addresses, count, surroundings);
        const auto& held = state.m_documents.at(announcement.m_document);
        for (const auto& address : addresses) {
            emit(surroundings,
                 send_datagram{address, document_revisions{{revision_of(held.m_stored)}}});
        }
    }
}

void check_readiness(configuration_state& state, context& surroundings,
                     const membership_state& members)
{
    if (state.m_is_ready || surroundings.m_now - state.m_started_at < peer_readiness_delay) {
        return;
    }
    const auto& settings = surroundings.m_settings;
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
        emit(surroundings, record_event{"ready-by-peers", {}, record_target::timeline_and_log});
    }
}

} // namespace chivevane::configuration
