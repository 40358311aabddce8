#include "libpolicy/configuration/document_write.h"

#include "libbase/result.h"
#include "libdocument/parse_document.h"
#include "libpolicy/configuration/document_answers.h"
#include "libpolicy/configuration/document_record.h"
#include "libpolicy/configuration/documents_in_force.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>

namespace chivevane::configuration {

namespace {

/// Number of store operations without a usable answer after which a write is abandoned. With the
/// backoff below that takes about six seconds, in addition to the timeouts of the operations.
constexpr std::uint32_t failure_limit = 5;

/// Base of the backoff, which doubles with every failure.
constexpr duration first_backoff = 200ms;

/// Number of earlier edit ids that a record keeps. They show whether an edit was written that later
/// edits have replaced.
constexpr std::size_t earlier_edits_limit = 8;

/// Largest length in bytes of a document name or edit id, since names are used in datagrams and
/// file names.
constexpr std::size_t name_size_limit = 64;

bool is_valid_name(std::string_view text)
{
    const auto is_allowed = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
               (character >= '0' && character <= '9') || character == '-' || character == '_' ||
               character == '.';
    };
    return !text.empty() && text.size() <= name_size_limit &&
           std::all_of(text.begin(), text.end(), is_allowed);
}

/// Returns the reason why a submission is invalid; empty if it is valid.
std::optional<error> validate(const document_submitted& submission)
{
    if (!is_valid_name(submission.m_name) || !is_valid_name(submission.m_edit_id)) {
        return error{error_kind::out_of_range, "The document's name or the edit id is not allowed.",
                     fmt::format("Use 1 to {} letters, digits, dots, hyphens and underscores.",
                                 name_size_limit)};
    }
    const auto parsed = parse_document(submission.m_text);
    if (is_error(parsed)) {
        return error_of(parsed);
    }
    if (value_of(parsed).m_name != submission.m_name) {
        return error{error_kind::conflict,
                     fmt::format("The text is of document {}, but was sent as {}.",
                                 value_of(parsed).m_name, submission.m_name),
                     "Send the text under the name in its field document."};
    }
    return std::nullopt;
}

void call(configuration_state& state, reducer_context& context, pending_write write,
          store_operation operation)
{
    const auto id = next_id(context);
    state.m_writes.emplace(id, std::move(write));
    emit(context, call_store{id, store_purpose::document_write, std::move(operation)});
}

void read_current(configuration_state& state, reducer_context& context, pending_write write)
{
    write.m_step = write_step::reading;
    auto key = store_key(write.m_submission.m_name);
    call(state, context, std::move(write), store_read{std::move(key)});
}

/// Puts the written document in force and answers the submission.
void accept(configuration_state& state, reducer_context& context, const pending_write& write,
            stored_document accepted)
{
    const auto revision = accepted.m_revision;
    if (put_in_force(state, context, std::move(accepted))) {
        state.m_announcements.push_back({write.m_submission.m_name, announcement_source::store});
    }
    emit(context, answer_accepted(write.m_submission, revision));
}

/// Returns the number of edits after `edit` in the history of `current`; empty if its history does
/// not contain `edit`.
std::optional<std::size_t> edits_since(const stored_document& current, const std::string& edit)
{
    if (current.m_edit_id == edit) {
        return 0;
    }
    const auto& earlier = current.m_earlier_edits;
    const auto found = std::find(earlier.begin(), earlier.end(), edit);
    if (found == earlier.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - earlier.begin()) + 1;
}

/// Whether it is known that the write has not taken effect, given that `current` does not contain
/// its edit id: the write had no possible effect, or the history reaches back to the proposed
/// revision.
bool is_outcome_known(const pending_write& write, const stored_document& current)
{
    const auto proposed = write.m_proposed.m_revision;
    return write.m_effect == write_effect::none || current.m_revision < proposed ||
           current.m_revision - proposed <= current.m_earlier_edits.size();
}

/// Returns the document that the submission makes of `current`.
stored_document next_revision(const document_submitted& submission, const stored_document& current)
{
    stored_document proposed{submission.m_name, current.m_revision + 1, submission.m_edit_id,
                             submission.m_text};
    if (current.m_revision > 0) {
        proposed.m_earlier_edits.push_back(current.m_edit_id);
    }
    for (const auto& earlier : current.m_earlier_edits) {
        if (proposed.m_earlier_edits.size() < earlier_edits_limit) {
            proposed.m_earlier_edits.push_back(earlier);
        }
    }
    return proposed;
}

/// Returns the newer one of the store's record and the document in force, because the store may
/// have lost data.
stored_document current_document(const configuration_state& state, const store_entry& entry,
                                 const std::string& name)
{
    stored_document current{name};
    if (auto stored = decode_document_record(entry.m_value); stored && entry.m_version != 0) {
        current = std::move(*stored);
    }
    const auto held = state.m_documents.find(name);
    const bool is_behind =
        held != state.m_documents.end() && held->second.m_stored.m_revision > current.m_revision;
    return is_behind ? held->second.m_stored : current;
}

/// Continues a write with the current content of the store: answers the submission if its outcome
/// follows from it, and otherwise writes the next revision.
void continue_write(configuration_state& state, reducer_context& context, pending_write write,
                    const store_entry& entry)
{
    const auto& submission = write.m_submission;
    auto current = current_document(state, entry, submission.m_name);
    if (const auto later_edits = edits_since(current, submission.m_edit_id)) {
        if (*later_edits == 0) {
            accept(state, context, write, std::move(current));
        }
        else {
            emit(context, answer_accepted(submission, current.m_revision - *later_edits));
        }
        return;
    }
    if (!is_outcome_known(write, current)) {
        emit(context, answer_unknown(submission));
        return;
    }
    if (submission.m_expected_revision && *submission.m_expected_revision != current.m_revision) {
        emit(context, answer_conflict(submission, current.m_revision, current.m_edit_id));
        return;
    }
    write.m_step = write_step::writing;
    write.m_proposed = next_revision(submission, current);
    store_compare_and_swap operation{store_key(submission.m_name), entry.m_version,
                                     encode_document_record(write.m_proposed), 0};
    call(state, context, std::move(write), std::move(operation));
}

/// Schedules a retry if the write may have taken effect; otherwise answers that the store is
/// unavailable. After too many failures, answers that the outcome is unknown.
void on_failure(configuration_state& state, reducer_context& context, pending_write write,
                const store_failure& failure)
{
    if (write.m_step == write_step::writing && failure.m_kind == store_failure_kind::unknown) {
        write.m_effect = write_effect::possible;
    }
    if (write.m_effect == write_effect::none) {
        emit(context, answer_unavailable(write.m_submission));
        return;
    }
    if (++write.m_failures >= failure_limit) {
        emit(context, answer_unknown(write.m_submission));
        return;
    }
    const double jitter = 0.5 + uniform_fraction(context.m_random);
    const double backoff = to_seconds(first_backoff) * (1U << write.m_failures);
    write.m_retry_at = context.m_now + from_seconds(backoff * jitter);
    state.m_waiting_writes.push_back(std::move(write));
}

/// Returns the entry with exactly this key, since a read returns all keys that begin with it.
/// Version 0 means that it is absent.
store_entry entry_of(const store_entries& entries, const std::string& key)
{
    const auto found =
        std::find_if(entries.m_entries.begin(), entries.m_entries.end(),
                     [&key](const store_entry& entry) { return entry.m_key == key; });
    return found == entries.m_entries.end() ? store_entry{key, {}, 0} : *found;
}

} // namespace

std::string store_key(std::string_view name)
{
    return fmt::format("{}{}", documents_prefix, name);
}

void begin_write(configuration_state& state, reducer_context& context,
                 const document_submitted& submission)
{
    if (const auto fault = validate(submission)) {
        emit(context, answer_invalid(submission, *fault));
        return;
    }
    read_current(state, context, pending_write{submission});
}

void on_write_outcome(configuration_state& state, reducer_context& context, std::uint64_t operation,
                      const store_outcome& outcome)
{
    auto node = state.m_writes.extract(operation);
    if (node.empty()) {
        return;
    }
    auto& write = node.mapped();
    const auto key = store_key(write.m_submission.m_name);
    if (const auto* const entries = std::get_if<store_entries>(&outcome)) {
        continue_write(state, context, std::move(write), entry_of(*entries, key));
    }
    else if (std::holds_alternative<store_written>(outcome)) {
        accept(state, context, write, write.m_proposed);
    }
    else if (const auto* const conflict = std::get_if<store_conflict>(&outcome)) {
        continue_write(state, context, std::move(write), conflict->m_current);
    }
    else {
        const auto* const failure = std::get_if<store_failure>(&outcome);
        on_failure(state, context, std::move(write),
                   failure != nullptr ? *failure : store_failure{});
    }
}

void retry_writes(configuration_state& state, reducer_context& context)
{
    std::vector<pending_write> waiting;
    waiting.swap(state.m_waiting_writes);
    for (auto& write : waiting) {
        if (write.m_retry_at <= context.m_now) {
            read_current(state, context, std::move(write));
        }
        else {
            state.m_waiting_writes.push_back(std::move(write));
        }
    }
}

} // namespace chivevane::configuration
