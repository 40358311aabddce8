#include "libpolicy/configuration/configuration.h"

#include "libpolicy/configuration/document_fetch.h"
#include "libpolicy/configuration/document_sync.h"
#include "libpolicy/configuration/document_write.h"
#include "libpolicy/configuration/documents_in_force.h"
#include "libpolicy/configuration/store_contact.h"
#include "libpolicy/configuration/store_reader.h"
#include "libpolicy/membership/membership.h"
#include "libwire/store_position.h"

#include <algorithm>

namespace chivevane::configuration {

namespace {

/// Age of the last confirmation by the store or a peer from which a host refuses requests. With the
/// second that the distribution of a change takes, a withdrawn key stops working within 5 s.
constexpr duration confirmation_timeout = 4s;

/// Time between two copies of the digests in the membership state; they change once per round of
/// the peers.
constexpr duration digest_refresh_interval = 500ms;

/// Digest of a host without documents. It differs from 0, the digest of members whose digest is not
/// known yet.
constexpr std::uint64_t empty_digest = 1;

/// Copies the peers' digests from the membership state, and drops the requests to peers that are
/// gone.
void refresh_peer_digests(configuration_state& state, const membership_state& members, instant now)
{
    if (now < state.m_next_digest_refresh) {
        return;
    }
    state.m_next_digest_refresh = now + digest_refresh_interval;
    state.m_own_name = members.m_own_record.m_identity.m_name;
    std::map<std::string, std::uint32_t> digests;
    for (const auto& [name, peer] : members.m_members) {
        if (name != state.m_own_name && peer.m_status != member_status::dead) {
            digests.emplace_hint(digests.end(), name, peer.m_documents_digest_low);
        }
    }
    state.m_digest_by_host = std::move(digests);
    std::erase_if(state.m_revisions_requests, [&state](const auto& request) {
        return !state.m_digest_by_host.contains(request.first);
    });
}

/// Returns the revision of `name` in force on this host; 0 if there is none.
std::uint64_t own_revision(const configuration_state& state, std::string_view name)
{
    const auto held = state.m_documents.find(name);
    return held == state.m_documents.end() ? 0 : held->second.m_stored.m_revision;
}

/// Returns the revision of `name` on a host with `digest`, which is the one that this host had when
/// its own digest was the same. Empty if this host does not remember such a digest.
std::optional<std::uint64_t> revision_at(const configuration_state& state, std::string_view name,
                                         std::uint32_t digest)
{
    auto revision = own_revision(state, name);
    if (digest == static_cast<std::uint32_t>(digest_of(state))) {
        return revision;
    }
    for (auto change = state.m_digest_history.rbegin(); change != state.m_digest_history.rend();
         ++change) {
        if (change->m_digest == digest) {
            return revision;
        }
        if (change->m_document == name) {
            revision = change->m_earlier_revision;
        }
    }
    return digest == empty_digest ? std::optional<std::uint64_t>{0} : std::nullopt;
}

/// Logs what came of the last fetch of a document.
void record_fetch(reducer_context& context, const document_fetched& answer,
                  const pending_fetch& fetch)
{
    const auto revision = answer.m_document ? answer.m_document->m_revision : 0;
    emit(context,
         record_event{
             "document-fetched",
             {{"document", answer.m_name},
              {"wanted", describe_position(fetch.m_wanted.m_revision)},
              {"revision", describe_position(revision)},
              {"waited_ms", std::to_string(to_milliseconds(context.m_now - fetch.m_requested_at))}},
             record_target::timeline_and_log});
}

} // namespace

void start(configuration_state& state, reducer_context& context)
{
    state.m_started_at = context.m_now;
    start_reading(state, context);
}

void on_document_submitted(configuration_state& state, reducer_context& context,
                           const document_submitted& submission)
{
    begin_write(state, context, submission);
}

void on_store_response(configuration_state& state, reducer_context& context,
                       const store_response& response)
{
    if (response.m_purpose == store_purpose::document_write) {
        on_write_outcome(state, context, response.m_operation_id, response.m_outcome);
        return;
    }
    on_read_outcome(state, context, response);
}

void on_document_fetched(configuration_state& state, reducer_context& context,
                         const document_fetched& answer)
{
    if (const auto pending = state.m_fetches.find(answer.m_name);
        pending != state.m_fetches.end()) {
        record_fetch(context, answer, pending->second);
    }
    if (!answer.m_document || answer.m_document->m_name != answer.m_name) {
        on_fetch_failed(state, context, answer.m_name, answer.m_from);
        return;
    }
    const auto fetch = state.m_fetches.extract(answer.m_name);
    const bool is_from_other_datacentre =
        !fetch.empty() && fetch.mapped().m_source.m_locality == peer_locality::other_datacentre;
    if (put_in_force(state, context, *answer.m_document, answer.m_parsed_document)) {
        const auto source = is_from_other_datacentre ? announcement_source::other_datacentre
                                                     : announcement_source::peer;
        state.m_announcements.push_back({answer.m_name, source});
    }
}

void on_host_record(configuration_state&, reducer_context&, const host_record&)
{
    // Host records may be old or sent by other hosts, so digests are taken from gossip instead.
}

void on_gossip(configuration_state& state, reducer_context& context, const host_identity& sender,
               const gossip& view, const membership_state& members)
{
    const auto* const peer = membership::find_member(members, sender.m_name);
    if (peer == nullptr || view.m_entries.empty() || membership::has_stale_view(members)) {
        return;
    }
    const bool is_same_incarnation = peer->m_record.m_identity == sender;
    if (is_same_incarnation && view.m_entries.front().m_round >= peer->m_round) {
        compare_digest(state, context, sender.m_name, view.m_address,
                       view.m_entries.front().m_documents_digest_low);
    }
}

void on_revisions_request(const configuration_state& state, reducer_context& context,
                          const document_revisions_request& request)
{
    answer_revisions_request(state, context, request);
}

void on_document_revisions(configuration_state& state, reducer_context& context,
                           const host_identity& sender, const document_revisions& revisions,
                           const membership_state& members)
{
    const auto* const peer = membership::find_member(members, sender.m_name);
    if (peer == nullptr) {
        return;
    }
    const auto locality = peer->m_record.m_datacentre == context.m_settings.m_datacentre
                              ? peer_locality::same_datacentre
                              : peer_locality::other_datacentre;
    handle_revisions(state, context, sender.m_name, peer->m_record.m_address, locality, revisions);
}

void on_timer(configuration_state& state, reducer_context& context, const membership_state& members)
{
    state.m_last_timer_at = context.m_now;
    refresh_peer_digests(state, members, context.m_now);
    start_deferred_fetches(state, context);
    ask_alternatives(state, context);
    check_overdue_answer(state, context);
    send_contact_report(state, context, members);
    send_announcements(state, context, members);
    retry_writes(state, context);
    check_readiness(state, context, members);
    advance_reading(state, context, members);
}

std::uint64_t digest_of(const configuration_state& state)
{
    std::uint64_t digest = empty_digest;
    for (const auto group : state.m_group_digests) {
        digest ^= group;
    }
    return digest;
}

bool may_serve(const configuration_state& state, instant now)
{
    return state.m_is_ready && state.m_confirmed_at &&
           now - *state.m_confirmed_at <= confirmation_timeout;
}

bool may_serve(const configuration_state& state, unconfirmed_documents_policy policy, instant now)
{
    return policy == unconfirmed_documents_policy::serve ? !state.m_documents.empty()
                                                         : may_serve(state, now);
}

const key_owner* find_key_owner(const configuration_state& state, std::string_view digest)
{
    const auto found = state.m_keys.find(std::string{digest});
    return found == state.m_keys.end() ? nullptr : &found->second.front();
}

bool is_datacentre_out(const configuration_state& state, std::string_view service,
                       std::string_view datacentre)
{
    return std::any_of(state.m_documents.begin(), state.m_documents.end(), [&](const auto& entry) {
        const document& parsed_document = *entry.second.m_document;
        const bool names_service =
            std::any_of(parsed_document.m_routes.begin(), parsed_document.m_routes.end(),
                        [&](const route& each) { return chivevane::names_service(each, service); });
        const auto& out = parsed_document.m_datacentres_out;
        return names_service && std::find(out.begin(), out.end(), datacentre) != out.end();
    });
}

double cold_rate_of(const configuration_state& state, std::string_view service)
{
    double lowest = 0;
    for (const auto& [name, held] : state.m_documents) {
        for (const auto& policy : held.m_document->m_services) {
            const bool has_rate = policy.m_name == service && policy.m_cold_rate > 0;
            if (has_rate && (lowest <= 0 || policy.m_cold_rate < lowest)) {
                lowest = policy.m_cold_rate;
            }
        }
    }
    return lowest;
}

std::string health_path_of(const configuration_state& state, std::string_view service)
{
    for (const auto& [name, held] : state.m_documents) {
        for (const auto& policy : held.m_document->m_services) {
            if (policy.m_name == service && !policy.m_health_path.empty()) {
                return policy.m_health_path;
            }
        }
    }
    return {};
}

std::vector<host_revision> rollout(const configuration_state& state, std::string_view name)
{
    std::vector<host_revision> revisions{{state.m_own_name, own_revision(state, name)}};
    for (const auto& [host, digest] : state.m_digest_by_host) {
        revisions.push_back({host, revision_at(state, name, digest)});
    }
    return revisions;
}

instant next_wakeup(const configuration_state& state)
{
    if (!state.m_announcements.empty() || state.m_is_contact_report_due) {
        return instant{};
    }
    auto due = state.m_is_store_call_pending ? state.m_answer_overdue_at : state.m_next_store_call;
    for (const auto& write : state.m_waiting_writes) {
        due = std::min(due, write.m_retry_at);
    }
    for (const auto& [name, deferred] : state.m_deferred_fetches) {
        due = std::min(due, deferred.m_due_at);
    }
    return std::min(due, next_alternative_due(state));
}

} // namespace chivevane::configuration
