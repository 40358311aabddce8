#pragma once

#include "libwire/hybrid_time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace chivevane {

/// GET /v1/documents
struct list_documents {
    bool operator==(const list_documents&) const = default;
};

/// GET /v1/documents/{name}
struct read_document {
    std::string m_name;
    bool operator==(const read_document&) const = default;
};

/// What must hold for a write to be made.
enum class write_condition : std::uint8_t {
    revision,    ///< The document has the given revision.
    must_exist,  ///< Any revision.
    must_be_new, ///< There is no such document.
};

/// PUT /v1/documents/{name}
struct write_document {
    std::string m_name;
    write_condition m_condition = write_condition::revision;
    std::uint64_t m_revision = 0; ///< For `write_condition::revision`.
    std::string m_edit_id;        ///< Empty: the shell makes one.
    bool operator==(const write_document&) const = default;
};

/// POST /v1/documents/{name}/check
struct check_document {
    std::string m_name;
    bool operator==(const check_document&) const = default;
};

/// GET /v1/documents/{name}/rollout
struct read_rollout {
    std::string m_name;
    bool operator==(const read_rollout&) const = default;
};

/// GET /v1/hosts
struct list_hosts {
    bool operator==(const list_hosts&) const = default;
};

/// POST /v1/hosts/{name}/declare-dead
struct declare_host_dead {
    std::string m_name;
    bool operator==(const declare_host_dead&) const = default;
};

/// GET /v1/upstreams
struct list_upstreams {
    bool operator==(const list_upstreams&) const = default;
};

/// GET /v1/organisations
struct list_organisations {
    std::string m_document; ///< Only of this document; empty: of all.
    bool operator==(const list_organisations&) const = default;
};

/// GET /v1/timeline
struct read_timeline {
    std::optional<hybrid_time> m_after; ///< The first entries after it; without it the latest.
    std::size_t m_limit = 1'000;
    bool operator==(const read_timeline&) const = default;
};

/// GET /metrics
struct read_metrics {
    bool operator==(const read_metrics&) const = default;
};

/// What an operator asks of a host.
using admin_command = std::variant<list_documents, read_document, write_document, check_document,
                                   read_rollout, list_hosts, declare_host_dead, list_upstreams,
                                   list_organisations, read_timeline, read_metrics>;

} // namespace chivevane
