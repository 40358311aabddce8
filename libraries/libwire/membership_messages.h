#pragma once

#include "libwire/host_address.h"
#include "libwire/host_identity.h"
#include "libwire/upstream_summary.h"

#include <array>
#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chivevane {

/// Status of a member as seen by other hosts.
enum class member_status : std::uint8_t { alive, suspect, leaving, dead };

/// State of a host as described by that host, sent by itself or relayed by another host. The
/// description of a host with many upstreams is split into parts that share a version.
struct host_record {
    host_identity m_identity;
    std::string m_datacentre;
    host_address m_address;
    member_status m_status = member_status::alive;
    std::vector<upstream_summary> m_upstreams;
    std::uint64_t m_documents_digest = 0; ///< Hash over the names and revisions of all documents.
    std::uint32_t m_version = 0;          ///< Increases with every change within the incarnation.
    std::uint32_t m_round = 0;            ///< Number of gossip rounds that the host has started, as
                                          ///< known to the sender.
    std::uint16_t m_first_upstream = 0;   ///< Index of the first upstream in this part.
    std::uint16_t m_upstream_count = 0;   ///< Number of upstreams in all parts.

    bool operator==(const host_record&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_identity, m_datacentre, m_address, m_status, m_upstreams, m_documents_digest,
                m_version, m_round, m_first_upstream, m_upstream_count);
    }
};

/// Liveness of one host process as known to the sender.
struct liveness_entry {
    std::uint64_t m_key = 0;     ///< Hash of the host name and the incarnation.
    std::uint32_t m_round = 0;   ///< Number of gossip rounds that the host has started; it
                                 ///< increases as long as the process runs.
    std::uint32_t m_version = 0; ///< The `m_version` of the latest `host_record` of the host.
    std::uint32_t m_documents_digest_low = 0; ///< Low 32 bits of the host's `m_documents_digest`.
    std::uint16_t m_age_ms = 0; ///< Time since the latest round of the host started, without the
                                ///< time that messages spent in transit.

    bool operator==(const liveness_entry&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_key, m_round, m_version, m_documents_digest_low, m_age_ms);
    }
};

/// The sender's view of the members, or a part of it. The entry of the sender comes first.
struct gossip {
    host_address m_address; ///< Address of the sender.
    std::vector<liveness_entry> m_entries;

    bool operator==(const gossip&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_address, m_entries);
    }
};

/// Whether the sender of a probe has recently received a datagram directly from the receiver.
enum class direct_reception : std::uint8_t { recent, none };

/// Checks the network path to the receiver and back.
struct probe {
    host_address m_address; ///< Address of the sender.
    std::uint64_t m_nonce = 0;
    std::uint32_t m_round = 0; ///< Number of gossip rounds that the sender has started.
    std::uint32_t m_documents_digest_low = 0; ///< Low 32 bits of the sender's `m_documents_digest`.
    direct_reception m_reception = direct_reception::none;

    bool operator==(const probe&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_address, m_nonce, m_round, m_documents_digest_low, m_reception);
    }
};

/// Response to a `probe`.
struct probe_ack {
    std::uint64_t m_nonce = 0;
    std::uint32_t m_round = 0; ///< Number of gossip rounds that the sender has started.
    std::uint32_t m_documents_digest_low = 0; ///< Low 32 bits of the sender's `m_documents_digest`.

    bool operator==(const probe_ack&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_nonce, m_round, m_documents_digest_low);
    }
};

/// Requests the descriptions of some host processes. The receiver responds with `host_record`
/// messages.
struct host_record_request {
    host_address m_address; ///< Address of the sender.
    /// Hashes of host name and incarnation, as in `liveness_entry`.
    std::vector<std::uint64_t> m_keys;

    bool operator==(const host_record_request&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_address, m_keys);
    }
};

/// Name and revision of a document.
struct document_revision {
    std::string m_name;
    std::uint64_t m_revision = 0;
    /// Hash of the edit id; the higher one wins between equal revisions.
    std::uint64_t m_edit_hash = 0;

    auto operator<=>(const document_revision&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_name, m_revision, m_edit_hash);
    }
};

/// Revisions of documents in force at the sender. The list may be incomplete.
struct document_revisions {
    std::vector<document_revision> m_revisions;
    std::uint64_t m_request_id = 0; ///< Id of the `document_revisions_request` that this message
                                    ///< answers, or 0 if it answers none.
    std::uint16_t m_part = 0;       ///< Index of this part of the response.
    std::uint16_t m_parts = 1;      ///< Number of parts of the response.

    bool operator==(const document_revisions&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_revisions, m_request_id, m_part, m_parts);
    }
};

/// Number of groups into which a hash of the name divides documents, so that hosts can compare
/// their documents by one digest for each group.
constexpr std::size_t document_group_count = 32;

/// Requests the revisions of the documents in those groups whose digests differ between the sender
/// and the receiver. The receiver responds with `document_revisions` messages.
struct document_revisions_request {
    host_address m_address;         ///< Address of the sender.
    std::uint64_t m_request_id = 0; ///< Id of this request, unique within the sender's incarnation.
    std::array<std::uint64_t, document_group_count> m_group_digests{};

    bool operator==(const document_revisions_request&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_address, m_request_id, m_group_digests);
    }
};

/// Whether a host can read the store.
enum class store_contact : std::uint8_t { reachable, unreachable };

/// Reports to the hosts of the sender's data centre whether the sender can read the store.
struct store_contact_report {
    store_contact m_contact = store_contact::reachable;

    bool operator==(const store_contact_report&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_contact);
    }
};

} // namespace chivevane
