#include "libpolicy/configuration/store_reader.h"

#include "libbase/digest.h"
#include "libpolicy/configuration/configuration.h"
#include "libpolicy/configuration/document_transfer.h"
#include "libpolicy/configuration/document_write.h"
#include "libpolicy/configuration/documents_in_force.h"
#include "libpolicy/configuration/store_contact.h"
#include "libpolicy/configuration/store_history.h"
#include "libpolicy/membership/membership.h"

#include <algorithm>
#include <utility>

namespace chivevane::configuration {

namespace {

/// Number of watchers in each data centre. There are two, since one may be paused or disconnected
/// from the store without the others noticing.
constexpr std::size_t watchers_per_datacentre = 2;

/// Shortest time between two store calls, even if the store answers watches at once.
constexpr duration shortest_call_interval = 200ms;

/// Time until a host that does not need the store checks whether this is still true.
constexpr duration role_check_interval = 500ms;

/// Time after the start of a process in which it does not watch, because it does not know yet which
/// hosts of its data centre are the watchers. What changes meanwhile is in its first watch.
constexpr duration watch_start_delay = 2s;

/// Age of the last confirmation from which a host reads from the store itself.
constexpr duration isolation_timeout = 1500ms;

/// Backoff after the first failed call; it doubles with every further one up to the longest.
constexpr duration first_backoff = 500ms;
constexpr duration longest_backoff = 8s;

/// Longest backoff of a watcher. The other hosts do not notice by themselves that the store answers
/// again, so the backoff delays changes in the whole data centre.
constexpr duration longest_watcher_backoff = 1s;

/// Time since the last timer event from which the process counts as paused. An answer that was
/// queued during the pause does not confirm the documents in force.
constexpr duration pause_threshold = 2s;

bool is_in_datacentre(const member& peer, const std::string& datacentre)
{
    const bool is_running =
        peer.m_status == member_status::alive || peer.m_status == member_status::suspect;
    return is_running && peer.m_record.m_datacentre == datacentre;
}

/// Whether no peer or store has confirmed the documents in force recently.
bool is_isolated(const configuration_state& state, instant now)
{
    return !state.m_confirmed_at || now - *state.m_confirmed_at > isolation_timeout;
}

void call(configuration_state& state, reducer_context& context, store_purpose purpose,
          store_operation operation)
{
    state.m_is_store_call_pending = true;
    state.m_store_called_at = context.m_now;
    emit(context, call_store{next_id(context), purpose, std::move(operation)});
}

/// Returns the document with the latest revision of those in force.
known_document newest_document(const configuration_state& state)
{
    known_document newest;
    for (const auto& [name, held] : state.m_documents) {
        const auto& stored = held.m_stored;
        if (stored.m_revision > newest.m_revision) {
            newest = {stored.m_revision, stored.m_edit_id, stable_hash(stored.m_text)};
        }
    }
    return newest;
}

void watch(configuration_state& state, reducer_context& context)
{
    const auto& settings = context.m_settings;
    const auto length =
        state.m_is_watcher ? watch_duration_of_watcher(settings) : settings.m_watch_timeout;
    if (state.m_is_watcher) {
        state.m_answer_overdue_at = answer_overdue_at(settings, context.m_now);
        state.m_is_answer_rechecked = false;
    }
    call(state, context, store_purpose::document_watch,
         store_watch{std::string{documents_prefix}, state.m_store_revision, length,
                     newest_document(state)});
}

/// Logs a document of the store that differs from the one in force and is not newer.
void record_if_ignored(configuration_state& state, reducer_context& context,
                       const stored_document& stored)
{
    const auto held = state.m_documents.find(stored.m_name);
    if (held == state.m_documents.end() || is_newer(state, revision_of(stored)) ||
        revision_of(stored) == revision_of(held->second.m_stored)) {
        return;
    }
    ++state.m_ignored_documents;
    const auto& in_force = held->second.m_stored;
    emit(context, record_event{"document-ignored",
                               {{"document", stored.m_name},
                                {"revision", describe_position(stored.m_revision)},
                                {"edit", stored.m_edit_id},
                                {"revision_in_force", describe_position(in_force.m_revision)},
                                {"edit_in_force", in_force.m_edit_id}},
                               record_target::timeline_and_log});
}

void adopt_entry(configuration_state& state, reducer_context& context, const store_entry& entry)
{
    if (entry.m_version == 0) {
        // Documents are never deleted, and a store that lost data must not end their effect.
        emit(context, record_event{"document-deletion-ignored",
                                   {{"key", entry.m_key}},
                                   record_target::timeline_and_log});
        return;
    }
    auto read = decode_document_transfer(entry.m_value);
    if (!read || store_key(read->m_stored.m_name) != entry.m_key) {
        emit(context, record_event{"document-damaged",
                                   {{"key", entry.m_key}},
                                   record_target::timeline_and_log});
        return;
    }
    record_if_ignored(state, context, read->m_stored);
    auto name = read->m_stored.m_name;
    if (put_in_force(state, context, std::move(read->m_stored),
                     std::move(read->m_parsed_document))) {
        state.m_announcements.push_back({std::move(name), announcement_source::store});
    }
}

void adopt_entries(configuration_state& state, reducer_context& context,
                   const store_response& response, const store_entries& entries)
{
    record_position(state, context, entries);
    const auto ignored_before = state.m_ignored_documents;
    for (const auto& entry : entries.m_entries) {
        adopt_entry(state, context, entry);
    }
    const bool has_reverted = entries.m_revision < state.m_store_revision;
    const bool is_watch = response.m_purpose == store_purpose::document_watch;
    const bool is_ignored = state.m_ignored_documents != ignored_before;
    // The revision of a store that lost data may be lower than before. A watch then does not report
    // all its entries, so they are read in full. The same holds where its change was ignored, as
    // the call began before the document in force was known here.
    state.m_store_revision = (has_reverted || is_ignored) && is_watch ? 0 : entries.m_revision;
    state.m_store_failures = 0;
    state.m_next_store_call =
        std::max(context.m_now, state.m_store_called_at + duration{shortest_call_interval});
    const auto last = state.m_last_timer_at.value_or(context.m_now);
    if (context.m_now - last <= pause_threshold) {
        state.m_is_ready = true;
        state.m_confirmed_at = context.m_now;
    }
}

void record_failure(const configuration_state& state, reducer_context& context,
                    const store_failure& failure)
{
    emit(context,
         record_event{"store-read-failed",
                      {{"failures", std::to_string(state.m_store_failures)},
                       {"retry_ms",
                        std::to_string(to_milliseconds(state.m_next_store_call - context.m_now))},
                       {"reason", failure.m_detail}},
                      record_target::timeline_and_log});
}

void back_off(configuration_state& state, reducer_context& context)
{
    const auto doublings = std::min<std::uint32_t>(state.m_store_failures++, 6);
    const auto longest = state.m_is_watcher ? longest_watcher_backoff : longest_backoff;
    const auto backoff = std::min<duration>(first_backoff * (1U << doublings), longest);
    const double jitter = 0.5 + uniform_fraction(context.m_random);
    state.m_next_store_call = context.m_now + from_seconds(to_seconds(backoff) * jitter);
}

} // namespace

bool is_watcher(const configuration_state& state, const membership_state& members)
{
    // Rendezvous hashing: of the hosts that can read the store those with the highest hashes are
    // the watchers, so that all hosts with the same view choose the same ones.
    const auto& own = members.m_own_record.m_identity;
    const auto& datacentre = members.m_own_record.m_datacentre;
    const auto rank = [&](const host_identity& host) {
        return std::pair{has_store_contact(state, members, host),
                         stable_hash(host.m_name, stable_hash(datacentre))};
    };
    const auto own_rank = rank(own);
    std::size_t higher_ranked = 0;
    for (const auto& [name, peer] : members.m_members) {
        const bool is_competitor = name != own.m_name && is_in_datacentre(peer, datacentre);
        if (is_competitor && rank(peer.m_record.m_identity) > own_rank) {
            ++higher_ranked;
        }
    }
    return higher_ranked < watchers_per_datacentre;
}

void start_reading(configuration_state& state, reducer_context& context)
{
    const double fraction = uniform_fraction(context.m_random);
    state.m_next_store_call =
        context.m_now +
        from_seconds(to_seconds(context.m_settings.m_gossip.m_max_start_delay) * fraction);
}

void advance_reading(configuration_state& state, reducer_context& context,
                     const membership_state& members)
{
    const auto now = context.m_now;
    if (state.m_is_store_call_pending || now < state.m_next_store_call) {
        return;
    }
    state.m_is_watcher =
        now - state.m_started_at >= watch_start_delay && is_watcher(state, members);
    // A host without contact keeps calling, since it is the first to notice that it has contact.
    const bool needs_store = !state.m_is_ready || is_isolated(state, now) || state.m_is_watcher ||
                             state.m_store_contact == store_contact::unreachable;
    if (!needs_store) {
        state.m_next_store_call = now + role_check_interval;
        return;
    }
    if (state.m_store_revision == 0) {
        call(state, context, store_purpose::document_read,
             store_read{std::string{documents_prefix}, read_consistency::latest,
                        newest_document(state)});
        return;
    }
    watch(state, context);
}

void on_read_outcome(configuration_state& state, reducer_context& context,
                     const store_response& response)
{
    state.m_is_store_call_pending = false;
    state.m_answer_overdue_at = instant::max();
    if (const auto* entries = std::get_if<store_entries>(&response.m_outcome)) {
        adopt_entries(state, context, response, *entries);
        record_store_success(state, context);
        return;
    }
    back_off(state, context);
    record_store_failure(state, context);
    if (const auto* const failure = std::get_if<store_failure>(&response.m_outcome)) {
        record_failure(state, context, *failure);
    }
}

} // namespace chivevane::configuration
