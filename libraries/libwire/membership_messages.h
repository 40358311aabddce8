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

/// The states of a member as the others see it.
enum class member_status : std::uint8_t { alive, suspect, leaving, dead };

/// A host's account of itself, as it sent it or as another host passes it on. An account with many
/// upstreams is split into parts that share a version.
struct heartbeat {
    host_identity m_identity;
    std::string m_datacentre;
    host_address m_address;
    member_status m_status = member_status::alive;
    std::vector<upstream_summary> m_upstreams;
    std::uint64_t m_documents_digest = 0; ///< Hash over the names and revisions of all documents.
    std::uint32_t m_version = 0;          ///< Grows with every change within the incarnation.
    std::uint32_t m_counter = 0;          ///< Rounds of the host, as known to the sender.
    std::uint16_t m_first_upstream = 0;   ///< Position of the first upstream of this part.
    std::uint16_t m_upstream_count = 0;   ///< Upstreams of all parts together.

    bool operator==(const heartbeat&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_identity, m_datacentre, m_address, m_status, m_upstreams, m_documents_digest,
                m_version, m_counter, m_first_upstream, m_upstream_count);
    }
};

/// What the sender knows of the liveness of one run of a host.
struct liveness {
    std::uint64_t m_key = 0;       ///< Hash of name and incarnation.
    std::uint32_t m_counter = 0;   ///< Rounds that the host has begun; grows while it runs.
    std::uint32_t m_version = 0;   ///< Of the host's account.
    std::uint32_t m_documents = 0; ///< Low half of the host's digest of its documents.
    std::uint16_t m_age_ms = 0;    ///< Since the round began, without time on the way.

    bool operator==(const liveness&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_key, m_counter, m_version, m_documents, m_age_ms);
    }
};

/// The sender's view of the members, or a part of it; its own entry comes first.
struct gossip {
    host_address m_address; ///< Of the sender.
    std::vector<liveness> m_entries;

    bool operator==(const gossip&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_address, m_entries);
    }
};

/// Whether the sender of a probe has heard the receiver directly of late.
enum class hearing : std::uint8_t { heard, unheard };

/// Tests the way to the receiver and back.
struct probe {
    host_address m_address; ///< Of the sender.
    std::uint64_t m_nonce = 0;
    std::uint32_t m_counter = 0;   ///< Rounds that the sender has begun.
    std::uint32_t m_documents = 0; ///< Low half of its digest of its documents.
    hearing m_hearing = hearing::unheard;

    bool operator==(const probe&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_address, m_nonce, m_counter, m_documents, m_hearing);
    }
};

/// Answers a `probe`.
struct probe_ack {
    std::uint64_t m_nonce = 0;
    std::uint32_t m_counter = 0;   ///< Rounds that the sender has begun.
    std::uint32_t m_documents = 0; ///< Low half of its digest of its documents.

    bool operator==(const probe_ack&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_nonce, m_counter, m_documents);
    }
};

/// Asks for the accounts of these hosts; `heartbeat` messages answer.
struct account_request {
    host_address m_address; ///< Of the sender.
    std::vector<std::uint64_t> m_keys;

    bool operator==(const account_request&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_address, m_keys);
    }
};

/// One document's name and revision.
struct document_revision {
    std::string m_name;
    std::uint64_t m_revision = 0;
    std::uint64_t m_edit = 0; ///< Hash of the edit id; decides between equal revisions.

    auto operator<=>(const document_revision&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_name, m_revision, m_edit);
    }
};

/// Revisions that the sender has in force, not necessarily all of them.
struct document_revisions {
    std::vector<document_revision> m_revisions;
    std::uint64_t m_question = 0; ///< Echo of the `document_question` that this answers, or 0.
    std::uint16_t m_part = 0;     ///< Position of this part of the answer.
    std::uint16_t m_parts = 1;

    bool operator==(const document_revisions&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_revisions, m_question, m_part, m_parts);
    }
};

/// Documents are sorted by a hash of their name into this many groups for comparison.
constexpr std::size_t document_group_count = 32;

/// Asks for the revisions of the documents in those groups whose digests differ.
struct document_question {
    host_address m_address; ///< Of the sender.
    std::uint64_t m_question = 0;
    std::array<std::uint64_t, document_group_count> m_group_digests{};

    bool operator==(const document_question&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_address, m_question, m_group_digests);
    }
};

} // namespace chivevane
