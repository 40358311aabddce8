#include "libpolicy/configuration/configuration.h"

#include "libbase/digest.h"
#include "libdocument/parse_document.h"
#include "libpolicy/configuration/document_record.h"
#include "libpolicy/membership/membership.h"

#include <algorithm>
#include <fmt/format.h>

namespace chivevane::configuration {

namespace {

constexpr std::string_view documents_prefix = "/chivevane/documents/";
constexpr duration store_retry_interval = 1s;
constexpr duration watch_timeout = 30s;

std::string store_key(std::string_view name)
{
    return fmt::format("{}{}", documents_prefix, name);
}

void rebuild_keys(configuration_state& state)
{
    state.m_keys.clear();
    for (const auto& [name, held] : state.m_documents) {
        for (const auto& owner : held.m_rules->m_organisations) {
            for (const auto& key : owner.m_keys) {
                state.m_keys[key.m_digest] = {name, owner.m_name};
            }
        }
    }
}

void put_in_force(configuration_state& state, context& surroundings, stored_document stored)
{
    const auto known = state.m_documents.find(stored.m_name);
    if (known != state.m_documents.end() &&
        known->second.m_stored.m_revision >= stored.m_revision) {
        return;
    }
    auto parsed = parse_document(stored.m_text);
    if (is_error(parsed)) {
        emit(surroundings,
             record_event{"document-rejected",
                          {{"document", stored.m_name}, {"reason", describe(error_of(parsed))}},
                          record_target::timeline_and_log});
        return;
    }
    emit(surroundings, record_event{"document-in-force",
                                    {{"document", stored.m_name},
                                     {"revision", std::to_string(stored.m_revision)}},
                                    record_target::timeline_and_log});
    auto name = stored.m_name;
    auto rules = std::make_shared<const document>(value_of(std::move(parsed)));
    state.m_documents[name] = {std::move(stored), std::move(rules)};
    rebuild_keys(state);
}

void adopt_entries(configuration_state& state, context& surroundings, const store_entries& entries)
{
    for (const auto& entry : entries.m_entries) {
        if (auto stored = decode_document_record(entry.m_value)) {
            put_in_force(state, surroundings, std::move(*stored));
        }
    }
    state.m_store_revision = std::max(state.m_store_revision, entries.m_revision);
    state.m_is_ready = true;
}

void call(context& surroundings, store_purpose purpose, store_operation operation)
{
    emit(surroundings, call_store{next_id(surroundings), purpose, std::move(operation)});
}

respond plain_answer(exchange_id exchange, std::uint16_t status, std::string body)
{
    return {exchange, {status, {{"Content-Type", "application/json"}}}, std::move(body)};
}

void finish_write(configuration_state& state, context& surroundings,
                  const document_submitted& submission, const store_outcome& outcome)
{
    const auto* const written = std::get_if<store_written>(&outcome);
    if (written == nullptr) {
        emit(surroundings, plain_answer(submission.m_exchange, 412, "{\"error\":\"conflict\"}\n"));
        return;
    }
    const auto known = state.m_documents.find(submission.m_name);
    const auto revision =
        known == state.m_documents.end() ? 1 : known->second.m_stored.m_revision + 1;
    put_in_force(state, surroundings,
                 {submission.m_name, revision, submission.m_edit_id, submission.m_text});
    emit(surroundings,
         plain_answer(submission.m_exchange, 200, fmt::format("{{\"revision\":{}}}\n", revision)));
}

} // namespace

void start(configuration_state& state, context& surroundings)
{
    state.m_next_store_call = surroundings.m_now;
}

void on_submitted(configuration_state& state, context& surroundings,
                  const document_submitted& submission)
{
    const auto known = state.m_documents.find(submission.m_name);
    const std::uint64_t current =
        known == state.m_documents.end() ? 0 : known->second.m_stored.m_revision;
    if (submission.m_expected_revision && *submission.m_expected_revision != current) {
        emit(surroundings, plain_answer(submission.m_exchange, 412,
                                        fmt::format("{{\"current_revision\":{}}}\n", current)));
        return;
    }
    const auto value = encode_document_record(
        {submission.m_name, current + 1, submission.m_edit_id, submission.m_text});
    const auto operation = next_id(surroundings);
    state.m_writes[operation] = submission;
    emit(surroundings,
         call_store{operation, store_purpose::document_write,
                    store_compare_and_swap{store_key(submission.m_name), current, value, 0}});
}

void on_store_response(configuration_state& state, context& surroundings,
                       const store_response& response)
{
    if (response.m_purpose == store_purpose::document_write) {
        if (auto write = state.m_writes.extract(response.m_operation_id)) {
            finish_write(state, surroundings, write.mapped(), response.m_outcome);
        }
        return;
    }
    state.m_store_call_is_waiting = false;
    if (const auto* entries = std::get_if<store_entries>(&response.m_outcome)) {
        adopt_entries(state, surroundings, *entries);
        state.m_next_store_call = surroundings.m_now;
    }
    else {
        state.m_next_store_call = surroundings.m_now + store_retry_interval;
    }
}

void on_fetched(configuration_state& state, context& surroundings, const document_fetched& answer)
{
    if (answer.m_document) {
        put_in_force(state, surroundings, *answer.m_document);
    }
}

void on_heartbeat(configuration_state& state, context& surroundings, const heartbeat& news)
{
    if (news.m_documents_digest != digest_of(state)) {
        emit(surroundings, send_datagram{news.m_address, document_revisions{}});
    }
}

void on_revisions(configuration_state& state, context& surroundings, const host_identity& sender,
                  const document_revisions& revisions, const membership_state& members)
{
    const auto* const peer = membership::find_member(members, sender.m_name);
    if (peer == nullptr) {
        return;
    }
    const auto& address = peer->m_latest.m_address;
    if (revisions.m_revisions.empty() && !state.m_documents.empty()) {
        document_revisions own;
        for (const auto& [name, held] : state.m_documents) {
            own.m_revisions.push_back({name, held.m_stored.m_revision});
        }
        emit(surroundings, send_datagram{address, std::move(own)});
        return;
    }
    for (const auto& theirs : revisions.m_revisions) {
        const auto known = state.m_documents.find(theirs.m_name);
        if (known == state.m_documents.end() ||
            known->second.m_stored.m_revision < theirs.m_revision) {
            emit(surroundings, fetch_document{address, theirs.m_name});
        }
    }
}

void on_timer(configuration_state& state, context& surroundings, const membership_state&)
{
    if (state.m_store_call_is_waiting || surroundings.m_now < state.m_next_store_call) {
        return;
    }
    state.m_store_call_is_waiting = true;
    if (state.m_store_revision == 0) {
        call(surroundings, store_purpose::document_read, store_read{std::string{documents_prefix}});
        return;
    }
    call(surroundings, store_purpose::document_watch,
         store_watch{std::string{documents_prefix}, state.m_store_revision, watch_timeout});
}

std::uint64_t digest_of(const configuration_state& state)
{
    std::uint64_t digest = 0;
    for (const auto& [name, held] : state.m_documents) {
        digest = stable_hash(name, digest ^ held.m_stored.m_revision);
    }
    return digest;
}

bool may_serve(const configuration_state& state, instant)
{
    return state.m_is_ready;
}

const key_owner* find_key(const configuration_state& state, std::string_view digest)
{
    const auto found = state.m_keys.find(std::string{digest});
    return found == state.m_keys.end() ? nullptr : &found->second;
}

bool is_datacentre_out(const configuration_state& state, std::string_view service,
                       std::string_view datacentre)
{
    return std::any_of(state.m_documents.begin(), state.m_documents.end(), [&](const auto& entry) {
        const document& rules = *entry.second.m_rules;
        const bool names_service =
            std::any_of(rules.m_routes.begin(), rules.m_routes.end(),
                        [&](const route& candidate) { return candidate.m_service == service; });
        const auto& out = rules.m_datacentres_out;
        return names_service && std::find(out.begin(), out.end(), datacentre) != out.end();
    });
}

instant next_wakeup(const configuration_state& state)
{
    return state.m_store_call_is_waiting ? instant::max() : state.m_next_store_call;
}

} // namespace chivevane::configuration
