#pragma once

#include "libwire/host_address.h"
#include "libwire/host_identity.h"
#include "libwire/upstream_summary.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace chivevane {

/// The states of a member as the others see it.
enum class member_status : std::uint8_t { alive, suspect, leaving, dead };

/// A host's account of itself, sent to its peers.
struct heartbeat {
    host_identity m_identity;
    std::string m_datacentre;
    host_address m_address;
    member_status m_status = member_status::alive;
    std::vector<upstream_summary> m_upstreams;
    std::uint64_t m_documents_digest = 0; ///< Hash over the names and revisions of all documents.

    bool operator==(const heartbeat&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_identity, m_datacentre, m_address, m_status, m_upstreams, m_documents_digest);
    }
};

/// One document's name and revision.
struct document_revision {
    std::string m_name;
    std::uint64_t m_revision = 0;

    auto operator<=>(const document_revision&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_name, m_revision);
    }
};

/// The revisions that the sender has in force. An empty list asks the receiver for its own.
struct document_revisions {
    std::vector<document_revision> m_revisions;

    bool operator==(const document_revisions&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_revisions);
    }
};

} // namespace chivevane
