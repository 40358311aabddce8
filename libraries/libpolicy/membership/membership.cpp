#include "libpolicy/membership/membership.h"

#include "libpolicy/membership/failure_detection.h"
#include "libpolicy/membership/gossip_round.h"
#include "libpolicy/membership/gossip_view.h"
#include "libpolicy/membership/host_records.h"
#include "libpolicy/membership/own_record.h"
#include "libpolicy/membership/peers.h"
#include "libpolicy/membership/possible_hosts.h"
#include "libpolicy/membership/registration.h"
#include "libpolicy/membership/timing.h"

#include <algorithm>

namespace chivevane::membership {

namespace {

/// Largest number of copies of its own record that a host sends to new members in one round.
constexpr std::uint32_t new_member_sends_per_round = direct_push_limit;

/// Width of the random variation of a round's length, as a share of the length, so that the rounds
/// of hosts that start together drift apart.
constexpr double round_jitter = 0.1;

/// Time after the start of a process after which hosts that are registered and still unknown count
/// as gone.
constexpr duration view_completion_limit = 5s;

/// Number of rounds between two requests of a started process for all members. Where many hosts
/// start together, its peers learn of the others in the meantime.
constexpr std::uint32_t view_request_rounds = 2;

/// Share of the registered hosts that are known when the view of a started process is complete. The
/// others may be gone, as entries outlive their hosts.
constexpr double complete_view_share = 0.8;

member& self_of(membership_state& state)
{
    return state.m_members.at(state.m_own_record.m_identity.m_name);
}

bool is_self(const membership_state& state, std::string_view name)
{
    return name == state.m_own_record.m_identity.m_name;
}

/// Returns the member whose known incarnation is `identity`; null if the host is unknown or known
/// with another incarnation.
member* find_incarnation(membership_state& state, const host_identity& identity)
{
    const auto found = state.m_members.find(identity.m_name);
    const bool is_known = found != state.m_members.end() &&
                          found->second.m_record.m_identity.m_incarnation == identity.m_incarnation;
    return is_known ? &found->second : nullptr;
}

void update_last_datagram(membership_state& state, reducer_context& context,
                          const host_identity& sender)
{
    if (auto* const peer = find_incarnation(state, sender)) {
        peer->m_last_datagram_at = context.m_now;
    }
}

void update_members(membership_state& state, reducer_context& context)
{
    for (auto position = state.m_members.begin(); position != state.m_members.end();) {
        auto& [name, peer] = *position;
        if (!is_self(state, name)) {
            update_status(state, context, peer);
        }
        if (context.m_now - peer.m_last_round_at > forget_timeout) {
            state.m_names_by_key.erase(key_of(peer.m_record.m_identity));
            position = state.m_members.erase(position);
            continue;
        }
        ++position;
    }
    if (count_live_peers(state) == 0) {
        state.m_resume_nonce.reset(); // No live peer is left that could answer the probe.
    }
}

void begin_round(membership_state& state, reducer_context& context)
{
    auto& self = self_of(state);
    ++self.m_round;
    self.m_last_round_at = context.m_now;
    self.m_documents_digest_low = static_cast<std::uint32_t>(state.m_own_record.m_documents_digest);
    update_rounds_per_view(state);
    state.m_new_member_sends = 0;
    std::erase_if(state.m_record_requests, [&](const auto& request) {
        return context.m_now - request.second > round_interval;
    });
    const auto interval = context.m_settings.m_gossip.m_round_interval;
    const double deviation = round_jitter * (uniform_fraction(context.m_random) - 0.5);
    state.m_next_round = context.m_now + interval + from_seconds(to_seconds(interval) * deviation);
}

/// Whether a host that learns of `peer` in a record sent by `sender` answers with its own record.
/// In a large fleet, hosts of other data centres get it from those to which they send theirs.
bool is_own_record_expected(const membership_state& state, const member& peer,
                            const host_identity& sender)
{
    return !is_large_fleet(state) || is_local(state, peer) || sender == peer.m_record.m_identity;
}

/// Sends a record of another data centre on to the own one, if it came from outside.
void relay_record(const membership_state& state, reducer_context& context, const member& subject,
                  const host_identity& sender)
{
    const auto* const from = find_member(state, sender.m_name);
    const bool came_from_outside = from != nullptr && !is_local(state, *from);
    if (!is_large_fleet(state) || !came_from_outside || is_local(state, subject)) {
        return;
    }
    for (const auto* const peer : local_peers(state, live_peers(state))) {
        send_host_record(context, subject, peer->m_record.m_address);
    }
}

/// Sends this host's record to a member that it learnt of, unless this round's limit is reached.
void send_own_record(membership_state& state, reducer_context& context, const member& new_member)
{
    if (state.m_new_member_sends < new_member_sends_per_round) {
        ++state.m_new_member_sends;
        send_host_record(context, self_of(state), new_member.m_record.m_address);
    }
}

/// Merges one entry of a peer's view, and adds its key to `keys_to_request` if the record of its
/// host is missing or outdated here.
void merge_entry(membership_state& state, reducer_context& context, const liveness_entry& entry,
                 std::vector<std::uint64_t>& keys_to_request)
{
    const auto known = state.m_names_by_key.find(entry.m_key);
    if (known == state.m_names_by_key.end()) {
        keys_to_request.push_back(entry.m_key);
        return;
    }
    const auto age = std::chrono::milliseconds{entry.m_age_ms};
    auto& peer = state.m_members.at(known->second);
    if (is_self(state, known->second)) {
        const auto began = context.m_now - age;
        state.m_own_round_seen_at = std::max(state.m_own_round_seen_at.value_or(began), began);
        return;
    }
    merge_round(state, context, peer, entry.m_round, entry.m_documents_digest_low, age);
    if (entry.m_version > peer.m_record.m_version) {
        keys_to_request.push_back(entry.m_key);
    }
}

} // namespace

void start(membership_state& state, reducer_context& context)
{
    const auto& settings = context.m_settings;
    state.m_own_record.m_identity = settings.m_self;
    state.m_own_record.m_datacentre = settings.m_datacentre;
    state.m_own_record.m_address = settings.m_address;
    state.m_own_record.m_version = 1;
    state.m_members[settings.m_self.m_name] = {state.m_own_record, state.m_own_record.m_status,
                                               context.m_now};
    state.m_names_by_key[key_of(settings.m_self)] = settings.m_self.m_name;
    state.m_started_at = context.m_now;
    state.m_next_round = context.m_now;
    state.m_next_load_push = context.m_now;
    state.m_last_nonce = std::uint64_t{context.m_random()} << 32U;
    start_registration(state.m_registration, context);
}

void detect_pause(membership_state& state, reducer_context& context)
{
    const auto now = context.m_now;
    const bool was_paused = state.m_last_event_at && now - *state.m_last_event_at > pause_threshold;
    state.m_last_event_at = now;
    if (!was_paused) {
        return;
    }
    emit(context, record_event{"host-paused", {}, record_target::timeline_and_log});
    if (count_live_peers(state) > 0) {
        // Datagrams that were queued during the pause do not carry the nonce of a probe sent after
        // it, so only an answer with this nonce shows that the peer is reachable now.
        state.m_resume_nonce = ++state.m_last_nonce;
    }
    for (auto& [name, peer] : state.m_members) {
        if (!is_self(state, name) && peer.m_status != member_status::dead) {
            peer.m_last_round_at = now;
            peer.m_is_confirmed = false;
            update_status(state, context, peer);
        }
    }
    state.m_next_round = now;
}

void on_host_record(membership_state& state, reducer_context& context, const host_identity& sender,
                    const host_record& record)
{
    const auto& name = record.m_identity.m_name;
    if (is_self(state, name)) {
        if (record.m_identity.m_incarnation > state.m_own_record.m_identity.m_incarnation) {
            emit(context,
                 record_event{"name-taken", {{"host", name}}, record_target::timeline_and_log});
        }
        return;
    }
    if (has_stale_view(state)) {
        return;
    }
    const auto outcome = merge_host_record(state, context, record);
    auto* const peer = find_incarnation(state, record.m_identity);
    if (peer == nullptr) {
        return;
    }
    merge_round(state, context, *peer, record.m_round,
                static_cast<std::uint32_t>(record.m_documents_digest));
    update_status(state, context, *peer);
    if (outcome == merge_outcome::joined) {
        record_status(context, *peer, "joined");
        if (is_own_record_expected(state, *peer, sender)) {
            send_own_record(state, context, *peer);
        }
    }
    if (outcome != merge_outcome::unchanged) {
        relay_record(state, context, *peer, sender);
    }
}

void on_gossip(membership_state& state, reducer_context& context, const host_identity& sender,
               const gossip& view)
{
    if (has_stale_view(state)) {
        return;
    }
    update_last_datagram(state, context, sender);
    std::vector<std::uint64_t> keys_to_request;
    for (const auto& entry : view.m_entries) {
        merge_entry(state, context, entry, keys_to_request);
    }
    request_host_records(state, context, view.m_address, keys_to_request);
}

void on_probe(membership_state& state, reducer_context& context, const host_identity& sender,
              const probe& received)
{
    update_last_datagram(state, context, sender);
    if (auto* const peer = find_incarnation(state, sender)) {
        peer->m_reported_reception = received.m_reception;
        if (!has_stale_view(state)) {
            merge_round(state, context, *peer, received.m_round, received.m_documents_digest_low);
        }
    }
    const auto& self = self_of(state);
    emit(context, send_datagram{received.m_address, probe_ack{received.m_nonce, self.m_round,
                                                              self.m_documents_digest_low}});
}

void on_probe_ack(membership_state& state, reducer_context& context, const host_identity& sender,
                  const probe_ack& answer)
{
    auto* const peer = find_incarnation(state, sender);
    if (peer == nullptr) {
        return;
    }
    if (state.m_resume_nonce == answer.m_nonce) {
        state.m_resume_nonce.reset();
    }
    if (!has_stale_view(state)) {
        peer->m_last_datagram_at = context.m_now;
        peer->m_unanswered_probes = 0;
        merge_round(state, context, *peer, answer.m_round, answer.m_documents_digest_low);
    }
}

void on_host_record_request(membership_state& state, reducer_context& context,
                            const host_record_request& request)
{
    if (request.m_keys.empty()) {
        send_whole_view(state, context, request.m_address);
    }
    for (const auto key : request.m_keys) {
        if (const auto known = state.m_names_by_key.find(key);
            known != state.m_names_by_key.end()) {
            send_host_record(context, state.m_members.at(known->second), request.m_address);
        }
    }
}

void on_store_outcome(membership_state& state, reducer_context& context,
                      const store_outcome& outcome)
{
    on_registration_outcome(state.m_registration, context, outcome);
    if (std::holds_alternative<store_entries>(outcome)) {
        contact_candidates(state, context);
    }
}

void on_timer(membership_state& state, reducer_context& context)
{
    push_changes(state, context);
    if (!state.m_registration.m_is_registered) {
        // A host that is not registered yet does not wait for its next round to do so.
        advance_registration(state.m_registration, context, count_live_peers(state));
    }
    if (context.m_now < state.m_next_round) {
        return;
    }
    begin_round(state, context);
    push_again(state, context);
    maintain_departures(state, context);
    update_members(state, context);
    update_possible_hosts(state);
    if (count_live_peers(state) == 0) {
        contact_candidates(state, context);
    }
    send_probes(state, context);
    send_gossip(state, context);
    const bool is_view_request_due = self_of(state).m_round % view_request_rounds == 0;
    if (is_view_request_due && state.m_view_requests_left > 0 && count_live_peers(state) > 0) {
        --state.m_view_requests_left;
        request_whole_view(state, context);
    }
    advance_registration(state.m_registration, context, count_live_peers(state));
}

void leave(membership_state& state, reducer_context& context)
{
    state.m_own_record.m_status = member_status::leaving;
    state.m_has_urgent_change = true;
    update_own_record(state);
    push_own_record(state, context);
    end_registration(state.m_registration, context);
}

const member* find_member(const membership_state& state, std::string_view name)
{
    const auto found = state.m_members.find(name);
    return found == state.m_members.end() ? nullptr : &found->second;
}

bool is_usable(const member& peer)
{
    return peer.m_status == member_status::alive &&
           peer.m_unanswered_probes < unreachable_after_probes;
}

bool has_stale_view(const membership_state& state)
{
    return state.m_resume_nonce.has_value();
}

std::size_t count_live_peers(const membership_state& state)
{
    const auto live =
        std::count_if(state.m_members.begin(), state.m_members.end(), [&state](const auto& entry) {
            const auto status = entry.second.m_status;
            return !is_self(state, entry.first) &&
                   (status == member_status::alive || status == member_status::suspect);
        });
    return static_cast<std::size_t>(live);
}

bool is_view_complete(const membership_state& state, instant now)
{
    const auto& registration = state.m_registration;
    const auto known = static_cast<double>(count_live_peers(state) + 1);
    const auto registered = static_cast<double>(registration.m_registered.size() + 1);
    return now - state.m_started_at >= view_completion_limit ||
           (registration.m_has_read_hosts && known >= registered * complete_view_share);
}

instant next_wakeup(const membership_state& state)
{
    if (state.m_has_urgent_change) {
        return instant{};
    }
    const auto& registration = state.m_registration;
    const bool is_calling =
        registration.m_step != registration_step::idle || registration.m_is_ended;
    // Once this host is registered, its store calls are made at the beginning of rounds.
    const auto registration_due = registration.m_is_registered || is_calling
                                      ? state.m_next_round
                                      : std::min(state.m_next_round, registration.m_next_call);
    return state.m_has_load_change
               ? std::min(registration_due, std::max(state.m_next_load_push, instant{}))
               : registration_due;
}

} // namespace chivevane::membership
