#pragma once

#include "libpolicy/configuration/configuration_events.h"
#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/membership/membership_state.h"
#include "libpolicy/reducer_context.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Keeps the configuration documents that are in force. A few watchers in each data centre read
/// them from the store, and hosts fetch them from each other. A revision is never replaced by a
/// lower one.
namespace chivevane::configuration {

/// Starts to look for the newest documents in the store and on peers.
void start(configuration_state& state, reducer_context& context);

/// Starts to write a submitted document to the store, or refuses it.
void on_document_submitted(configuration_state& state, reducer_context& context,
                           const document_submitted& submission);

/// Handles the store's answer to an operation whose purpose is a read, write or watch of documents.
void on_store_response(configuration_state& state, reducer_context& context,
                       const store_response& response);

/// Puts a document that was fetched from a peer in force if it is newer.
void on_document_fetched(configuration_state& state, reducer_context& context,
                         const document_fetched& answer);

/// Does nothing: digests are taken from gossip, since host records may be old or sent by other
/// hosts.
void on_host_record(configuration_state& state, reducer_context& context,
                    const host_record& record);

/// Compares the digest of the sender of `view` with this host's digest.
void on_gossip(configuration_state& state, reducer_context& context, const host_identity& sender,
               const gossip& view, const membership_state& members);

/// Answers a peer's request for revisions.
void on_revisions_request(const configuration_state& state, reducer_context& context,
                          const document_revisions_request& request);

/// Compares a peer's revisions with those in force and fetches newer ones.
void on_document_revisions(configuration_state& state, reducer_context& context,
                           const host_identity& sender, const document_revisions& revisions,
                           const membership_state& members);

/// Makes the store calls, fetches and announcements that are due, and checks whether this host is
/// ready.
void on_timer(configuration_state& state, reducer_context& context,
              const membership_state& members);

/// Hash over the names, revisions and edit ids of the documents in force. Hosts with the same
/// documents have the same digest.
std::uint64_t digest_of(const configuration_state& state);

/// Whether requests may be handled by the documents in force: this host is ready, and within a
/// bounded time the store or a peer confirmed that it has no newer ones.
bool may_serve(const configuration_state& state, instant now);

/// Whether requests may be handled by the documents in force under `policy`.
bool may_serve(const configuration_state& state, unconfirmed_documents_policy policy, instant now);

/// Returns the owner of the API key with this digest; null if no document in force has it.
const key_owner* find_key_owner(const configuration_state& state, std::string_view digest);

/// Whether any document in force that names `service` takes the data centre out of use.
bool is_datacentre_out(const configuration_state& state, std::string_view service,
                       std::string_view datacentre);

/// Returns the number of requests per second that may start on a cold upstream of `service`: the
/// lowest value in the documents in force, or 0 if none gives one.
double cold_rate_of(const configuration_state& state, std::string_view service);

/// Returns the path of the health check of upstreams of `service`; empty if no document gives one.
std::string health_path_of(const configuration_state& state, std::string_view service);

/// The revision of a document that a host has in force.
struct host_revision {
    std::string m_host;
    std::optional<std::uint64_t> m_revision; ///< 0: it has none. Empty: unknown here.

    bool operator==(const host_revision&) const = default;
};

/// Returns the revisions of the document called `name` on all hosts that are not dead, this one
/// included.
std::vector<host_revision> rollout(const configuration_state& state, std::string_view name);

/// Returns the time at which `on_timer` is due.
instant next_wakeup(const configuration_state& state);

} // namespace chivevane::configuration
