#include "libpolicy/configuration/store_reader.h"

#include "libbase/digest.h"
#include "libpolicy/configuration/configuration.h"
#include "libpolicy/configuration/document_record.h"
#include "libpolicy/configuration/document_write.h"
#include "libpolicy/configuration/documents_in_force.h"
#include "libpolicy/membership/membership.h"

#include <algorithm>

namespace chivevane::configuration {

namespace {

/// Watchers of each data centre: one may be paused or cut off from the store unnoticed.
constexpr std::size_t watchers_per_datacentre = 2;

/// Shortest time between two calls, also on a store that answers watches at once.
constexpr duration shortest_call_interval = 200ms;

/// Time until a host that needs nothing of the store checks whether that is still so.
constexpr duration role_check_interval = 500ms;

/// Age of the last agreement with a peer from which a host turns to the store itself.
constexpr duration lonely_after = 1500ms;

constexpr duration first_backoff = 500ms;
constexpr duration longest_backoff = 8s;

/// Events further apart than this mean that the process was paused: an answer that waited
/// meanwhile tells nothing of the present.
constexpr duration pause_threshold = 2s;

bool is_in_datacentre(const member& peer, const std::string& datacentre)
{
    const bool is_there =
        peer.m_status == member_status::alive || peer.m_status == member_status::suspect;
    return is_there && peer.m_latest.m_datacentre == datacentre;
}

bool is_lonely(const configuration_state& state, instant now)
{
    return !state.m_confirmed_at || now - *state.m_confirmed_at > lonely_after;
}

void call(configuration_state& state, context& surroundings, store_purpose purpose,
          store_operation operation)
{
    state.m_store_call_is_waiting = true;
    state.m_store_called_at = surroundings.m_now;
    emit(surroundings, call_store{next_id(surroundings), purpose, std::move(operation)});
}

void adopt_entry(configuration_state& state, context& surroundings, const store_entry& entry)
{
    if (entry.m_version == 0) {
        // Documents are never deleted: a store that lost data must not take rules out of force.
        emit(surroundings, record_event{"document-deletion-ignored",
                                        {{"key", entry.m_key}},
                                        record_target::timeline_and_log});
        return;
    }
    auto stored = decode_document_record(entry.m_value);
    if (!stored || store_key(stored->m_name) != entry.m_key) {
        emit(surroundings, record_event{"document-damaged",
                                        {{"key", entry.m_key}},
                                        record_target::timeline_and_log});
        return;
    }
    auto name = stored->m_name;
    if (put_in_force(state, surroundings, std::move(*stored))) {
        state.m_announcements.push_back({std::move(name), announcement_kind::first});
    }
}

void adopt_entries(configuration_state& state, context& surroundings,
                   const store_response& response, const store_entries& entries)
{
    for (const auto& entry : entries.m_entries) {
        adopt_entry(state, surroundings, entry);
    }
    const bool went_back = entries.m_revision < state.m_store_revision;
    const bool is_watch = response.m_purpose == store_purpose::document_watch;
    // After a store that lost data went back, only a read of everything tells what it has.
    state.m_store_revision = went_back && is_watch ? 0 : entries.m_revision;
    state.m_store_failures = 0;
    state.m_next_store_call =
        std::max(surroundings.m_now, state.m_store_called_at + duration{shortest_call_interval});
    const auto last = state.m_last_timer.value_or(surroundings.m_now);
    if (surroundings.m_now - last <= pause_threshold) {
        state.m_is_ready = true;
        state.m_confirmed_at = surroundings.m_now;
    }
}

void back_off(configuration_state& state, context& surroundings)
{
    const auto doublings = std::min<std::uint32_t>(state.m_store_failures++, 6);
    const auto backoff = std::min<duration>(first_backoff * (1U << doublings), longest_backoff);
    const double jitter = 0.5 + uniform_fraction(surroundings.m_random);
    state.m_next_store_call = surroundings.m_now + from_seconds(to_seconds(backoff) * jitter);
}

} // namespace

bool is_watcher(const membership_state& members)
{
    const auto& own = members.m_self.m_identity.m_name;
    const auto& datacentre = members.m_self.m_datacentre;
    const auto weight = stable_hash(own, stable_hash(datacentre));
    std::size_t ahead = 0;
    for (const auto& [name, peer] : members.m_members) {
        const bool competes = name != own && is_in_datacentre(peer, datacentre);
        if (competes && stable_hash(name, stable_hash(datacentre)) > weight) {
            ++ahead;
        }
    }
    return ahead < watchers_per_datacentre;
}

void start_reading(configuration_state& state, context& surroundings)
{
    const double fraction = uniform_fraction(surroundings.m_random);
    state.m_next_store_call =
        surroundings.m_now +
        from_seconds(to_seconds(surroundings.m_settings.m_timing.m_start_spread) * fraction);
}

void advance_reading(configuration_state& state, context& surroundings,
                     const membership_state& members)
{
    const auto now = surroundings.m_now;
    if (state.m_store_call_is_waiting || now < state.m_next_store_call) {
        return;
    }
    const bool needs_store = !state.m_is_ready || is_lonely(state, now) || is_watcher(members);
    if (!needs_store) {
        state.m_next_store_call = now + role_check_interval;
        return;
    }
    if (state.m_store_revision == 0) {
        call(state, surroundings, store_purpose::document_read,
             store_read{std::string{documents_prefix}});
        return;
    }
    call(state, surroundings, store_purpose::document_watch,
         store_watch{std::string{documents_prefix}, state.m_store_revision,
                     surroundings.m_settings.m_watch_timeout});
}

void on_read_outcome(configuration_state& state, context& surroundings,
                     const store_response& response)
{
    state.m_store_call_is_waiting = false;
    if (const auto* entries = std::get_if<store_entries>(&response.m_outcome)) {
        adopt_entries(state, surroundings, response, *entries);
        return;
    }
    back_off(state, surroundings);
}

} // namespace chivevane::configuration
