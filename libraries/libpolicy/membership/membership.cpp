#include "libpolicy/membership/membership.h"

#include "libpolicy/membership/accounts.h"
#include "libpolicy/membership/gossip_round.h"
#include "libpolicy/membership/judgement.h"
#include "libpolicy/membership/registration.h"
#include "libpolicy/membership/timing.h"

#include <algorithm>

namespace chivevane::membership {

namespace {

/// Shortest time between two accounts that differ in load alone.
constexpr duration load_push_interval = 3s;

/// Added to it for each member, so that the bytes for load do not grow with the fleet.
constexpr duration load_push_per_member = 90ms;

/// Rounds in which an urgent change is pushed again: single losses must not delay it by a request.
constexpr std::uint32_t urgent_repeats = 2;

/// Own accounts sent to new members in one round.
constexpr std::uint32_t introductions_per_round = direct_push_limit;

/// Deviation of a round's length, so that the rounds of hosts started together drift apart.
constexpr double round_jitter = 0.1;

member& self_of(membership_state& state)
{
    return state.m_members.at(state.m_self.m_identity.m_name);
}

bool is_self(const membership_state& state, std::string_view name)
{
    return name == state.m_self.m_identity.m_name;
}

/// The member that this run of a host is; null for other runs and strangers.
member* find_run(membership_state& state, const host_identity& run)
{
    const auto found = state.m_members.find(run.m_name);
    const bool is_known = found != state.m_members.end() &&
                          found->second.m_latest.m_identity.m_incarnation == run.m_incarnation;
    return is_known ? &found->second : nullptr;
}

void note_datagram(membership_state& state, context& surroundings, const host_identity& sender)
{
    if (auto* const peer = find_run(state, sender)) {
        peer->m_direct_at = surroundings.m_now;
    }
}

void judge_members(membership_state& state, context& surroundings)
{
    for (auto place = state.m_members.begin(); place != state.m_members.end();) {
        auto& [name, peer] = *place;
        if (!is_self(state, name)) {
            judge(state, surroundings, peer);
        }
        if (surroundings.m_now - peer.m_heard_at > forget_timeout) {
            state.m_by_key.erase(key_of(peer.m_latest.m_identity));
            place = state.m_members.erase(place);
            continue;
        }
        ++place;
    }
    if (count_live_peers(state) == 0) {
        state.m_resume_nonce.reset(); // Nobody is left who could tell how things stand.
    }
}

void begin_round(membership_state& state, context& surroundings)
{
    auto& self = self_of(state);
    ++self.m_counter;
    self.m_heard_at = surroundings.m_now;
    self.m_documents = static_cast<std::uint32_t>(state.m_self.m_documents_digest);
    const auto views = (count_live_peers(state) + entries_per_gossip - 1) / entries_per_gossip;
    state.m_views = std::max(1U, static_cast<std::uint32_t>(views));
    state.m_introductions = 0;
    std::erase_if(state.m_requested, [&](const auto& request) {
        return surroundings.m_now - request.second > round_interval;
    });
    const auto interval = surroundings.m_settings.m_timing.m_round;
    const double deviation = round_jitter * (uniform_fraction(surroundings.m_random) - 0.5);
    state.m_next_heartbeat =
        surroundings.m_now + interval + from_seconds(to_seconds(interval) * deviation);
}

void renew_account(membership_state& state)
{
    ++state.m_self.m_version;
    state.m_repeats = state.m_has_urgent_change ? urgent_repeats : 0;
    state.m_has_urgent_change = false;
    state.m_has_load_change = false;
    auto& self = self_of(state);
    self.m_latest = state.m_self;
    self.m_status = state.m_self.m_status;
}

void push_changes(membership_state& state, context& surroundings)
{
    // Where gates are asked for room, nobody uses loads that are told ahead.
    const bool is_load_used = surroundings.m_settings.m_placement == placement_mode::weighted;
    state.m_has_load_change = state.m_has_load_change && is_load_used;
    const bool tells_load =
        is_load_used && state.m_has_load_change && surroundings.m_now >= state.m_next_load_push;
    if (!state.m_has_urgent_change && !tells_load) {
        return;
    }
    renew_account(state);
    push_own_account(state, surroundings);
    const auto members = static_cast<std::int64_t>(state.m_members.size());
    state.m_next_load_push =
        surroundings.m_now + load_push_interval + load_push_per_member * members;
}

void repeat_push(membership_state& state, context& surroundings)
{
    if (state.m_repeats > 0) {
        --state.m_repeats;
        push_own_account(state, surroundings);
    }
}

/// Whether two summaries differ in nothing but load.
bool has_same_role(const upstream_summary& left, const upstream_summary& right)
{
    return left.m_endpoint == right.m_endpoint && left.m_service == right.m_service &&
           left.m_slots == right.m_slots && left.m_warmth == right.m_warmth &&
           left.m_phase == right.m_phase;
}

void introduce_self(membership_state& state, context& surroundings, const member& newcomer)
{
    if (state.m_introductions < introductions_per_round) {
        ++state.m_introductions;
        send_account(surroundings, self_of(state), newcomer.m_latest.m_address);
    }
}

void note_entry(membership_state& state, context& surroundings, const liveness& entry,
                std::vector<std::uint64_t>& wanted)
{
    const auto known = state.m_by_key.find(entry.m_key);
    if (known == state.m_by_key.end()) {
        wanted.push_back(entry.m_key);
        return;
    }
    const auto age = std::chrono::milliseconds{entry.m_age_ms};
    auto& peer = state.m_members.at(known->second);
    if (is_self(state, known->second)) {
        const auto began = surroundings.m_now - age;
        state.m_heard_by_others = std::max(state.m_heard_by_others.value_or(began), began);
        return;
    }
    note_round(state, surroundings, peer, entry.m_counter, entry.m_documents, age);
    if (entry.m_version > peer.m_latest.m_version) {
        wanted.push_back(entry.m_key);
    }
}

} // namespace

void start(membership_state& state, context& surroundings)
{
    const auto& settings = surroundings.m_settings;
    state.m_self.m_identity = settings.m_self;
    state.m_self.m_datacentre = settings.m_datacentre;
    state.m_self.m_address = settings.m_address;
    state.m_self.m_version = 1;
    state.m_members[settings.m_self.m_name] = {state.m_self, state.m_self.m_status,
                                               surroundings.m_now};
    state.m_by_key[key_of(settings.m_self)] = settings.m_self.m_name;
    state.m_next_heartbeat = surroundings.m_now;
    state.m_next_load_push = surroundings.m_now;
    state.m_last_nonce = std::uint64_t{surroundings.m_random()} << 32U;
    start_registration(state.m_registration, surroundings);
}

void note_event(membership_state& state, context& surroundings)
{
    const auto now = surroundings.m_now;
    const bool was_paused = state.m_last_event && now - *state.m_last_event > pause_threshold;
    state.m_last_event = now;
    if (!was_paused) {
        return;
    }
    emit(surroundings, record_event{"host-paused", {}, record_target::timeline_and_log});
    if (count_live_peers(state) > 0) {
        // Datagrams that waited during the pause do not answer a probe of after it.
        state.m_resume_nonce = ++state.m_last_nonce;
    }
    for (auto& [name, peer] : state.m_members) {
        if (!is_self(state, name) && peer.m_status != member_status::dead) {
            peer.m_heard_at = now;
            peer.m_is_confirmed = false;
            judge(state, surroundings, peer);
        }
    }
    state.m_next_heartbeat = now;
}

void on_heartbeat(membership_state& state, context& surroundings, const heartbeat& news)
{
    const auto& name = news.m_identity.m_name;
    if (is_self(state, name)) {
        if (news.m_identity.m_incarnation > state.m_self.m_identity.m_incarnation) {
            emit(surroundings,
                 record_event{"name-taken", {{"host", name}}, record_target::timeline_and_log});
        }
        return;
    }
    if (is_out_of_touch(state)) {
        return;
    }
    const auto effect = adopt_account(state, surroundings, news);
    auto* const peer = find_run(state, news.m_identity);
    if (peer == nullptr) {
        return;
    }
    note_round(state, surroundings, *peer, news.m_counter,
               static_cast<std::uint32_t>(news.m_documents_digest));
    judge(state, surroundings, *peer);
    if (effect == account_effect::joined) {
        record_status(surroundings, *peer, "joined");
        introduce_self(state, surroundings, *peer);
    }
}

void on_gossip(membership_state& state, context& surroundings, const host_identity& sender,
               const gossip& news)
{
    if (is_out_of_touch(state)) {
        return;
    }
    note_datagram(state, surroundings, sender);
    std::vector<std::uint64_t> wanted;
    for (const auto& entry : news.m_entries) {
        note_entry(state, surroundings, entry, wanted);
    }
    request_accounts(state, surroundings, news.m_address, wanted);
}

void on_probe(membership_state& state, context& surroundings, const host_identity& sender,
              const probe& question)
{
    note_datagram(state, surroundings, sender);
    if (auto* const peer = find_run(state, sender)) {
        peer->m_hears_us = question.m_hearing;
        if (!is_out_of_touch(state)) {
            note_round(state, surroundings, *peer, question.m_counter, question.m_documents);
        }
    }
    const auto& self = self_of(state);
    emit(surroundings, send_datagram{question.m_address, probe_ack{question.m_nonce, self.m_counter,
                                                                   self.m_documents}});
}

void on_probe_ack(membership_state& state, context& surroundings, const host_identity& sender,
                  const probe_ack& answer)
{
    auto* const peer = find_run(state, sender);
    if (peer == nullptr) {
        return;
    }
    if (state.m_resume_nonce == answer.m_nonce) {
        state.m_resume_nonce.reset();
    }
    if (!is_out_of_touch(state)) {
        peer->m_direct_at = surroundings.m_now;
        peer->m_unanswered = 0;
        note_round(state, surroundings, *peer, answer.m_counter, answer.m_documents);
    }
}

void on_account_request(membership_state& state, context& surroundings,
                        const account_request& request)
{
    for (const auto key : request.m_keys) {
        if (const auto known = state.m_by_key.find(key); known != state.m_by_key.end()) {
            send_account(surroundings, state.m_members.at(known->second), request.m_address);
        }
    }
}

void on_store_outcome(membership_state& state, context& surroundings, const store_outcome& outcome)
{
    on_registration_outcome(state.m_registration, surroundings, outcome);
    if (std::holds_alternative<store_entries>(outcome)) {
        contact_candidates(state, surroundings);
    }
}

void on_timer(membership_state& state, context& surroundings)
{
    push_changes(state, surroundings);
    if (!state.m_registration.m_is_written) {
        // A host that nobody knows yet does not wait for its next round.
        advance_registration(state.m_registration, surroundings, count_live_peers(state));
    }
    if (surroundings.m_now < state.m_next_heartbeat) {
        return;
    }
    begin_round(state, surroundings);
    repeat_push(state, surroundings);
    judge_members(state, surroundings);
    if (count_live_peers(state) == 0) {
        contact_candidates(state, surroundings);
    }
    send_probes(state, surroundings);
    send_gossip(state, surroundings);
    advance_registration(state.m_registration, surroundings, count_live_peers(state));
}

void set_own_upstreams(membership_state& state, std::vector<upstream_summary> upstreams)
{
    auto& own = state.m_self.m_upstreams;
    if (upstreams == own) {
        return;
    }
    const bool is_load_only =
        std::equal(upstreams.begin(), upstreams.end(), own.begin(), own.end(), has_same_role);
    state.m_has_load_change = true;
    state.m_has_urgent_change = state.m_has_urgent_change || !is_load_only;
    own = std::move(upstreams);
    state.m_members[state.m_self.m_identity.m_name].m_latest.m_upstreams = own;
}

void set_documents_digest(membership_state& state, std::uint64_t digest)
{
    state.m_self.m_documents_digest = digest;
}

void leave(membership_state& state, context& surroundings)
{
    state.m_self.m_status = member_status::leaving;
    state.m_has_urgent_change = true;
    renew_account(state);
    push_own_account(state, surroundings);
    end_registration(state.m_registration, surroundings);
}

const member* find_member(const membership_state& state, std::string_view name)
{
    const auto found = state.m_members.find(name);
    return found == state.m_members.end() ? nullptr : &found->second;
}

bool is_usable(const member& peer)
{
    return peer.m_status == member_status::alive && peer.m_unanswered < unreachable_after_probes;
}

bool is_out_of_touch(const membership_state& state)
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

instant next_wakeup(const membership_state& state)
{
    if (state.m_has_urgent_change) {
        return instant{};
    }
    const auto& registration = state.m_registration;
    const bool is_calling =
        registration.m_step != registration_step::idle || registration.m_is_over;
    // Once this host is registered, store calls are made with the rounds.
    const auto registration_due = registration.m_is_written || is_calling
                                      ? state.m_next_heartbeat
                                      : std::min(state.m_next_heartbeat, registration.m_next_call);
    return state.m_has_load_change
               ? std::min(registration_due, std::max(state.m_next_load_push, instant{}))
               : registration_due;
}

} // namespace chivevane::membership
