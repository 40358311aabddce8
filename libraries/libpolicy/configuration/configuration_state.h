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

/// A document in force. Requests keep the rules they were judged by alive through the pointer.
struct document_in_force {
    stored_document m_stored;
    std::shared_ptr<const document> m_rules;
};

/// Whose key a digest is.
struct key_owner {
    std::string m_document;
    std::string m_organisation;
};

/// Where a peer is, seen from this host.
enum class peer_place : std::uint8_t { same_datacentre, other_datacentre };

/// A fetch from a peer that was not answered yet.
struct pending_fetch {
    document_revision m_wanted;
    instant m_asked_at;
    peer_place m_place = peer_place::same_datacentre;
};

/// A fetch from another data centre that waits for a peer of this one to have the document.
struct deferred_fetch {
    document_revision m_wanted;
    host_address m_from;
    instant m_at;
};

/// To which peers a document is told.
enum class announcement_kind : std::uint8_t {
    first,    ///< This host has it from the store: to many.
    relayed,  ///< From a peer: to a few, where the fleet is large.
    imported, ///< From another data centre: to all of this one.
};

/// A document whose revision is to be told to peers.
struct pending_announcement {
    std::string m_document;
    announcement_kind m_kind = announcement_kind::first;
};

/// The digest of all documents after `m_document` came in force.
struct digest_record {
    std::uint32_t m_digest = 0;
    std::string m_document;
    std::uint64_t m_revision = 0;
    std::uint64_t m_earlier_revision = 0; ///< 0 if there was none.
};

/// A `document_question` that waits for the parts of its answer.
struct open_question {
    std::uint64_t m_id = 0;
    instant m_asked_at;
    std::set<std::uint16_t> m_parts; ///< Parts that came and held nothing newer.
};

/// The documents in force on this host and the operations under way to change them.
struct configuration_state {
    std::map<std::string, document_in_force, std::less<>> m_documents; ///< By name.
    /// Owners by key digest, in order of the documents' names; the first one counts.
    std::unordered_map<std::string, std::vector<key_owner>> m_keys;
    std::array<std::uint64_t, document_group_count> m_group_digests{};
    std::deque<digest_record> m_history; ///< Of the digest, the latest last.

    std::map<std::uint64_t, pending_write> m_writes; ///< By store operation.
    std::vector<pending_write> m_waiting_writes;     ///< To be read back later.

    std::uint64_t m_store_revision = 0; ///< Where the watch stands; 0 before the first read.
    instant m_next_store_call;
    instant m_store_called_at;
    bool m_store_call_is_waiting = false;
    std::uint32_t m_store_failures = 0; ///< In a row.

    instant m_started_at;
    std::optional<instant> m_confirmed_at; ///< When store or peers last agreed with this host.
    std::optional<instant> m_last_timer;
    bool m_is_ready = false; ///< The newest documents of the store or of peers are in force.

    std::map<std::string, pending_fetch, std::less<>> m_fetches;   ///< By document name.
    std::map<std::string, deferred_fetch, std::less<>> m_deferred; ///< By document name.
    std::map<std::string, open_question, std::less<>> m_questions; ///< By host.
    std::set<std::string> m_synced_peers; ///< Hosts that had nothing newer; kept until ready.
    std::vector<pending_announcement> m_announcements;
    std::map<std::string, std::uint32_t> m_digest_by_host; ///< As last told by the hosts.
    instant m_next_collection;
    std::string m_own_name;
    std::uint64_t m_last_question = 0;
};

} // namespace chivevane
