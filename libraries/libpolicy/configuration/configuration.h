#pragma once

#include "libpolicy/configuration/configuration_events.h"
#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/context.h"
#include "libpolicy/membership/membership_state.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Which documents are in force. They come from the store by a few watchers and from host to host;
/// a revision is never replaced by a lower one.
namespace chivevane::configuration {

/// Starts to learn the newest documents from the store and from peers.
void start(configuration_state& state, context& surroundings);

/// Writes a submitted document to the store, or refuses it.
void on_submitted(configuration_state& state, context& surroundings,
                  const document_submitted& submission);

/// Handles the store's answer to an operation of a document purpose.
void on_store_response(configuration_state& state, context& surroundings,
                       const store_response& response);

/// Puts a peer's copy in force if it is newer.
void on_fetched(configuration_state& state, context& surroundings, const document_fetched& answer);

/// Notes the digest in a host's account of itself.
void on_heartbeat(configuration_state& state, context& surroundings, const heartbeat& news);

/// Compares the digests that a peer passes on, and its own with this host's.
void on_gossip(configuration_state& state, context& surroundings, const host_identity& sender,
               const gossip& news, const membership_state& members);

/// Answers a peer's question for revisions.
void on_question(const configuration_state& state, context& surroundings,
                 const document_question& question);

/// Compares a peer's revisions with those in force and fetches newer ones.
void on_revisions(configuration_state& state, context& surroundings, const host_identity& sender,
                  const document_revisions& revisions, const membership_state& members);

/// Makes store calls and announcements that are due.
void on_timer(configuration_state& state, context& surroundings, const membership_state& members);

/// Hash over the names, revisions and edits in force; the same on hosts that agree.
std::uint64_t digest_of(const configuration_state& state);

/// Whether requests may be judged by the documents in force: they are known to be the newest that
/// the store or the peers know, as of a bounded time ago.
bool may_serve(const configuration_state& state, instant now);

/// Whether requests may be judged by the documents in force under `policy`.
bool may_serve(const configuration_state& state, stale_rules policy, instant now);

/// The owner of the key with this digest; null if no document in force has it.
const key_owner* find_key(const configuration_state& state, std::string_view digest);

/// Whether a data centre is taken out by any document that names `service`.
bool is_datacentre_out(const configuration_state& state, std::string_view service,
                       std::string_view datacentre);

/// Starts per second that a cold upstream of `service` bears: the least that a document tells, or 0
/// if none does.
double cold_rate_of(const configuration_state& state, std::string_view service);

/// Path at which upstreams of `service` tell their health; empty if no document tells it.
std::string health_path_of(const configuration_state& state, std::string_view service);

/// Which revision of a document a host has in force.
struct host_revision {
    std::string m_host;
    std::optional<std::uint64_t> m_revision; ///< 0: none. Empty: not known to this host.

    bool operator==(const host_revision&) const = default;
};

/// The revisions of the document called `name` on all live hosts, this one included.
std::vector<host_revision> rollout(const configuration_state& state, std::string_view name);

/// When `on_timer` is due.
instant next_wakeup(const configuration_state& state);

} // namespace chivevane::configuration
