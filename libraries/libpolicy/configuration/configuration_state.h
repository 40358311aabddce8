#pragma once

#include "libbase/instant.h"
#include "libdocument/document.h"
#include "libpolicy/configuration/configuration_events.h"
#include "libpolicy/configuration/pending_write.h"
#include "libpolicy/configuration/stored_document.h"
#include "libwire/membership_messages.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivevane {

/// A document in force. Requests share ownership of the parsed document that they are handled by.
struct document_in_force {
    stored_document m_stored;
    std::shared_ptr<const document> m_document;
};

/// The document and the organisation that an API key belongs to.
struct key_owner {
    std::string m_document;
    std::string m_organisation;
};

/// Whether a peer is in the data centre of this host.
enum class peer_locality : std::uint8_t { same_datacentre, other_datacentre };

/// A peer that has a document.
struct document_source {
    host_address m_address;
    peer_locality m_locality = peer_locality::same_datacentre;
};

/// A fetch from a peer that is not answered yet.
struct pending_fetch {
    document_revision m_wanted;
    instant m_requested_at;
    document_source m_source;
    /// Other peers that announced the same or a newer revision, in the order of their messages.
    std::vector<document_source> m_alternatives;
};

/// A fetch from another data centre, delayed in case a peer in this data centre gets the document
/// first.
struct deferred_fetch {
    document_revision m_wanted;
    host_address m_from;
    instant m_due_at; ///< Time at which the fetch starts if the document is still needed.
};

/// From where this host got a document that it announces, which decides to which peers.
enum class announcement_source : std::uint8_t {
    store,            ///< From the store; announced to peers in all data centres.
    peer,             ///< From a peer; announced to a few peers, and in large fleets only.
    other_datacentre, ///< From a peer in another data centre; announced in this data centre.
};

/// A document whose revision is to be announced to peers.
struct pending_announcement {
    std::string m_document;
    announcement_source m_source = announcement_source::store;
};

/// The low half of the digest of all documents after `m_document` came in force.
struct digest_record {
    std::uint32_t m_digest = 0;
    std::string m_document;
    std::uint64_t m_revision = 0;
    std::uint64_t m_earlier_revision = 0; ///< Revision before that; 0 if there was none.
};

/// A sent `document_revisions_request` of which parts of the answer are missing.
struct pending_revisions_request {
    std::uint64_t m_id = 0;
    instant m_requested_at;
    /// Positions of the received parts that held nothing newer.
    std::set<std::uint16_t> m_parts;
};

/// The documents in force on this host and the operations in progress that change them.
struct configuration_state {
    std::map<std::string, document_in_force, std::less<>> m_documents; ///< By name.
    /// Owners by the digest of the API key, ordered by document and organisation name. The first
    /// one is used.
    std::unordered_map<std::string, std::vector<key_owner>> m_keys;
    /// Digests of the documents in each group, as `group_of` assigns them.
    std::array<std::uint64_t, document_group_count> m_group_digests{};
    std::deque<digest_record> m_digest_history; ///< Ordered by age, the latest last.

    /// Writes with a store operation in progress, by the id of the operation.
    std::map<std::uint64_t, pending_write> m_writes;
    std::vector<pending_write> m_waiting_writes; ///< Writes that wait for a retry.

    std::uint64_t m_store_revision = 0;    ///< Start of the next watch; 0 if a full read is needed.
    store_position m_store_position;       ///< Where the store stood when it last answered.
    std::uint64_t m_store_reversions = 0;  ///< Number of answers that showed that it went back.
    std::uint64_t m_ignored_documents = 0; ///< Documents of the store that were not newer.
    instant m_next_store_call;             ///< Time of the next read or watch.
    instant m_store_called_at;             ///< Time of the last read or watch.
    bool m_is_store_call_pending = false;
    instant m_answer_overdue_at = instant::max(); ///< `max()` if no watcher's call is in progress.
    bool m_is_answer_rechecked = false; ///< The answer was overdue once, and is looked for again.
    std::uint32_t m_store_failures = 0; ///< Number of consecutive failed reads and watches.
    store_contact m_store_contact = store_contact::reachable; ///< Of this host.
    bool m_is_contact_report_due = false;
    instant m_contact_reported_at; ///< Time of the last `store_contact_report`.
    /// Incarnations of the hosts of this data centre that cannot read the store, by host name.
    std::map<std::string, std::uint64_t, std::less<>> m_hosts_without_store;
    bool m_is_watcher = false; ///< This host was a watcher when it last checked its role.

    instant m_started_at;
    std::optional<instant> m_confirmed_at;  ///< Time of the last confirmation by store or peers.
    std::optional<instant> m_last_timer_at; ///< Detects a pause of this host.
    bool m_is_ready = false; ///< The newest documents of the store or of peers are in force.

    std::map<std::string, pending_fetch, std::less<>> m_fetches;           ///< By document name.
    std::map<std::string, deferred_fetch, std::less<>> m_deferred_fetches; ///< By document name.
    /// By host name.
    std::map<std::string, pending_revisions_request, std::less<>> m_revisions_requests;
    /// Names of the hosts without newer documents. It is used until this host is ready.
    std::set<std::string> m_synced_peers;
    std::vector<pending_announcement> m_announcements;
    /// Low half of the last known digest of each peer, by host name.
    std::map<std::string, std::uint32_t> m_digest_by_host;
    instant m_next_digest_refresh; ///< Time of the next copy of the peers' digests.
    std::string m_own_name;
    std::uint64_t m_last_request_id = 0; ///< Id of the last `document_revisions_request` sent.
};

} // namespace chivevane
