#include "libpolicy/configuration/documents_in_force.h"

#include "libbase/digest.h"
#include "libdocument/parse_document.h"
#include "libpolicy/configuration/configuration.h"
#include "libwire/store_position.h"

#include <algorithm>
#include <tuple>

namespace chivevane::configuration {

namespace {

/// Number of changes whose digests are kept, to derive the revisions of hosts with older documents
/// from their digests.
constexpr std::size_t history_length = 256;

std::uint64_t digest_of_revision(const document_revision& revision)
{
    return stable_hash(revision.m_name, revision.m_revision ^ (revision.m_edit_hash * 31));
}

bool precedes(const key_owner& left, const key_owner& right)
{
    return std::tie(left.m_document, left.m_organisation) <
           std::tie(right.m_document, right.m_organisation);
}

void add_keys(configuration_state& state, const std::string& name, const document& parsed_document)
{
    for (const auto& owner : parsed_document.m_organisations) {
        for (const auto& key : owner.m_keys) {
            auto& owners = state.m_keys[key.m_digest];
            const key_owner entry{name, owner.m_name};
            owners.insert(std::lower_bound(owners.begin(), owners.end(), entry, precedes), entry);
        }
    }
}

void remove_keys(configuration_state& state, const std::string& name,
                 const document& parsed_document)
{
    for (const auto& owner : parsed_document.m_organisations) {
        for (const auto& key : owner.m_keys) {
            const auto found = state.m_keys.find(key.m_digest);
            if (found == state.m_keys.end()) {
                continue;
            }
            std::erase_if(found->second,
                          [&name](const key_owner& each) { return each.m_document == name; });
            if (found->second.empty()) {
                state.m_keys.erase(found);
            }
        }
    }
}

void record_digest(configuration_state& state, const stored_document& stored,
                   std::uint64_t earlier_revision)
{
    state.m_digest_history.push_back({static_cast<std::uint32_t>(digest_of(state)), stored.m_name,
                                      stored.m_revision, earlier_revision});
    if (state.m_digest_history.size() > history_length) {
        state.m_digest_history.pop_front();
    }
}

void replace(configuration_state& state, stored_document stored,
             std::shared_ptr<const document> parsed_document)
{
    const auto name = stored.m_name;
    auto& group = state.m_group_digests[group_of(name)];
    std::uint64_t earlier_revision = 0;
    if (const auto known = state.m_documents.find(name); known != state.m_documents.end()) {
        remove_keys(state, name, *known->second.m_document);
        group ^= digest_of_revision(revision_of(known->second.m_stored));
        earlier_revision = known->second.m_stored.m_revision;
    }
    add_keys(state, name, *parsed_document);
    group ^= digest_of_revision(revision_of(stored));
    record_digest(state, stored, earlier_revision);
    state.m_documents[name] = {std::move(stored), std::move(parsed_document)};
}

void record(reducer_context& context, std::string name, const stored_document& stored,
            std::string reason)
{
    record_event entry{std::move(name),
                       {{"document", stored.m_name},
                        {"revision", describe_position(stored.m_revision)},
                        {"edit", stored.m_edit_id}},
                       record_target::timeline_and_log};
    if (!reason.empty()) {
        entry.m_fields.push_back({"reason", std::move(reason)});
    }
    emit(context, std::move(entry));
}

} // namespace

std::size_t group_of(std::string_view name)
{
    return stable_hash(name) % document_group_count;
}

document_revision revision_of(const stored_document& stored)
{
    return {stored.m_name, stored.m_revision, stable_hash(stored.m_edit_id)};
}

bool is_newer(const configuration_state& state, const document_revision& theirs)
{
    const auto known = state.m_documents.find(theirs.m_name);
    if (known == state.m_documents.end()) {
        return true;
    }
    // Two edits have the same revision only if the store lost data. The hash of the edit id then
    // makes all hosts choose the same one.
    const auto ours = revision_of(known->second.m_stored);
    return std::tie(theirs.m_revision, theirs.m_edit_hash) >
           std::tie(ours.m_revision, ours.m_edit_hash);
}

bool put_in_force(configuration_state& state, reducer_context& context, stored_document stored,
                  std::shared_ptr<const document> parsed_document)
{
    if (!is_newer(state, revision_of(stored))) {
        return false;
    }
    if (parsed_document == nullptr) {
        auto parsed = parse_document(stored.m_text);
        if (is_error(parsed)) {
            record(context, "document-rejected", stored, describe(error_of(parsed)));
            return false;
        }
        parsed_document = std::make_shared<const document>(value_of(std::move(parsed)));
    }
    record(context, "document-in-force", stored, {});
    replace(state, std::move(stored), std::move(parsed_document));
    return true;
}

} // namespace chivevane::configuration
