#include "libpolicy/configuration/configuration.h"

#include "libpolicy/configuration/document_sync.h"
#include "libpolicy/configuration/document_write.h"
#include "libpolicy/configuration/documents_in_force.h"
#include "libpolicy/configuration/store_reader.h"
#include "libpolicy/membership/membership.h"

#include <algorithm>

namespace chivevane::configuration {

namespace {

/// Age of the last agreement with store or peers from which a host refuses requests: with the
/// second that spreading a change takes, a withdrawn key stops within 5 s.
constexpr duration confirmation_timeout = 4s;

/// Time between two looks at the digests that hosts tell; they change with their rounds.
constexpr duration collection_interval = 500ms;

/// The digest of no documents at all. It is not 0, which members have before they are heard of.
constexpr std::uint64_t empty_digest = 1;

/// Brings the digests told by hosts in line with who is there.
void collect_digests(configuration_state& state, const membership_state& members, instant now)
{
    if (now < state.m_next_collection) {
        return;
    }
    state.m_next_collection = now + collection_interval;
    state.m_own_name = members.m_self.m_identity.m_name;
    std::map<std::string, std::uint32_t> digests;
    for (const auto& [name, peer] : members.m_members) {
        if (name != state.m_own_name && peer.m_status != member_status::dead) {
            digests.emplace_hint(digests.end(), name, peer.m_documents);
        }
    }
    state.m_digest_by_host = std::move(digests);
    std::erase_if(state.m_questions, [&state](const auto& question) {
        return !state.m_digest_by_host.contains(question.first);
    });
}

std::uint64_t own_revision(const configuration_state& state, std::string_view name)
{
    const auto held = state.m_documents.find(name);
    return held == state.m_documents.end() ? 0 : held->second.m_stored.m_revision;
}

/// The revision of `name` on a host that tells `digest`: what this host had when it had the same.
std::optional<std::uint64_t> revision_at(const configuration_state& state, std::string_view name,
                                         std::uint32_t digest)
{
    auto revision = own_revision(state, name);
    if (digest == static_cast<std::uint32_t>(digest_of(state))) {
        return revision;
    }
    for (auto change = state.m_history.rbegin(); change != state.m_history.rend(); ++change) {
        if (change->m_digest == digest) {
            return revision;
        }
        if (change->m_document == name) {
            revision = change->m_earlier_revision;
        }
    }
    return digest == empty_digest ? std::optional<std::uint64_t>{0} : std::nullopt;
}

} // namespace

void start(configuration_state& state, context& surroundings)
{
    state.m_started_at = surroundings.m_now;
    start_reading(state, surroundings);
}

void on_submitted(configuration_state& state, context& surroundings,
                  const document_submitted& submission)
{
    begin_write(state, surroundings, submission);
}

void on_store_response(configuration_state& state, context& surroundings,
                       const store_response& response)
{
    if (response.m_purpose == store_purpose::document_write) {
        on_write_outcome(state, surroundings, response.m_operation_id, response.m_outcome);
        return;
    }
    on_read_outcome(state, surroundings, response);
}

void on_fetched(configuration_state& state, context& surroundings, const document_fetched& answer)
{
    const auto fetch = state.m_fetches.extract(answer.m_name);
    const bool is_imported =
        !fetch.empty() && fetch.mapped().m_place == peer_place::other_datacentre;
    if (!answer.m_document || answer.m_document->m_name != answer.m_name) {
        return;
    }
    if (put_in_force(state, surroundings, *answer.m_document, answer.m_rules)) {
        const auto kind = is_imported ? announcement_kind::imported : announcement_kind::relayed;
        state.m_announcements.push_back({answer.m_name, kind});
    }
}

void on_heartbeat(configuration_state&, context&, const heartbeat&)
{
    // Accounts may be passed on by others and late; gossip carries the digests.
}

void on_gossip(configuration_state& state, context& surroundings, const host_identity& sender,
               const gossip& news, const membership_state& members)
{
    const auto* const peer = membership::find_member(members, sender.m_name);
    if (peer == nullptr || news.m_entries.empty() || membership::is_out_of_touch(members)) {
        return;
    }
    const bool is_same_run = peer->m_latest.m_identity == sender;
    if (is_same_run && news.m_entries.front().m_counter >= peer->m_counter) {
        compare_digest(state, surroundings, sender.m_name, news.m_address,
                       news.m_entries.front().m_documents);
    }
}

void on_question(const configuration_state& state, context& surroundings,
                 const document_question& question)
{
    answer_question(state, surroundings, question);
}

void on_revisions(configuration_state& state, context& surroundings, const host_identity& sender,
                  const document_revisions& revisions, const membership_state& members)
{
    const auto* const peer = membership::find_member(members, sender.m_name);
    if (peer == nullptr) {
        return;
    }
    const auto place = peer->m_latest.m_datacentre == surroundings.m_settings.m_datacentre
                           ? peer_place::same_datacentre
                           : peer_place::other_datacentre;
    take_revisions(state, surroundings, sender.m_name, peer->m_latest.m_address, place, revisions);
}

void on_timer(configuration_state& state, context& surroundings, const membership_state& members)
{
    state.m_last_timer = surroundings.m_now;
    collect_digests(state, members, surroundings.m_now);
    begin_deferred_fetches(state, surroundings);
    send_announcements(state, surroundings, members);
    repeat_writes(state, surroundings);
    check_readiness(state, surroundings, members);
    advance_reading(state, surroundings, members);
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

bool may_serve(const configuration_state& state, stale_rules policy, instant now)
{
    return policy == stale_rules::serve ? !state.m_documents.empty() : may_serve(state, now);
}

const key_owner* find_key(const configuration_state& state, std::string_view digest)
{
    const auto found = state.m_keys.find(std::string{digest});
    return found == state.m_keys.end() ? nullptr : &found->second.front();
}

bool is_datacentre_out(const configuration_state& state, std::string_view service,
                       std::string_view datacentre)
{
    return std::any_of(state.m_documents.begin(), state.m_documents.end(), [&](const auto& entry) {
        const document& rules = *entry.second.m_rules;
        const bool names_service =
            std::any_of(rules.m_routes.begin(), rules.m_routes.end(),
                        [&](const route& each) { return chivevane::names_service(each, service); });
        const auto& out = rules.m_datacentres_out;
        return names_service && std::find(out.begin(), out.end(), datacentre) != out.end();
    });
}

double cold_rate_of(const configuration_state& state, std::string_view service)
{
    double least = 0;
    for (const auto& [name, held] : state.m_documents) {
        for (const auto& policy : held.m_rules->m_services) {
            const bool is_told = policy.m_name == service && policy.m_cold_rate > 0;
            if (is_told && (least <= 0 || policy.m_cold_rate < least)) {
                least = policy.m_cold_rate;
            }
        }
    }
    return least;
}

std::string health_path_of(const configuration_state& state, std::string_view service)
{
    for (const auto& [name, held] : state.m_documents) {
        for (const auto& policy : held.m_rules->m_services) {
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
    if (!state.m_announcements.empty()) {
        return instant{};
    }
    auto due = state.m_store_call_is_waiting ? instant::max() : state.m_next_store_call;
    for (const auto& write : state.m_waiting_writes) {
        due = std::min(due, write.m_retry_at);
    }
    for (const auto& [name, deferred] : state.m_deferred) {
        due = std::min(due, deferred.m_at);
    }
    return due;
}

} // namespace chivevane::configuration
