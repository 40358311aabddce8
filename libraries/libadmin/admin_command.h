#pragma once

#include "libwire/hybrid_time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace chivevane {

/// The command of `GET /v1/documents`.
struct list_documents {
    bool operator==(const list_documents&) const = default;
};

/// The command of `GET /v1/documents/{name}`.
struct read_document {
    std::string m_name;
    bool operator==(const read_document&) const = default;
};

/// The precondition of a write.
enum class write_condition : std::uint8_t {
    revision,    ///< The document has the revision in `m_revision`.
    must_exist,  ///< The document exists, in any revision.
    must_be_new, ///< The document does not exist.
};

/// The command of `PUT /v1/documents/{name}`.
struct write_document {
    std::string m_name;
    write_condition m_condition = write_condition::revision;
    std::uint64_t m_revision = 0; ///< The revision that `write_condition::revision` requires.
    std::string m_edit_id;        ///< If empty, the host generates an edit id.
    bool operator==(const write_document&) const = default;
};

/// The command of `POST /v1/documents/{name}/check`.
struct check_document {
    std::string m_name;
    bool operator==(const check_document&) const = default;
};

/// The command of `GET /v1/documents/{name}/rollout`.
struct read_rollout {
    std::string m_name;
    bool operator==(const read_rollout&) const = default;
};

/// The command of `GET /v1/hosts`.
struct list_hosts {
    bool operator==(const list_hosts&) const = default;
};

/// The command of `POST /v1/hosts/{name}/declare-dead`.
struct declare_host_dead {
    std::string m_name;
    bool operator==(const declare_host_dead&) const = default;
};

/// The command of `GET /v1/upstreams`.
struct list_upstreams {
    bool operator==(const list_upstreams&) const = default;
};

/// The command of `GET /v1/organisations`.
struct list_organisations {
    std::string m_document; ///< Limits the list to this document; if empty, all are listed.
    bool operator==(const list_organisations&) const = default;
};

/// The command of `GET /v1/timeline`.
struct read_timeline {
    /// If set, the oldest entries after this time are read; otherwise the latest entries.
    std::optional<hybrid_time> m_after;
    std::size_t m_limit = 1'000; ///< The maximum number of entries.
    bool operator==(const read_timeline&) const = default;
};

/// The command of `GET /v1/explain`.
struct read_explanation {
    std::string m_method = "GET";
    std::string m_host;         ///< The Host field of the request; may be empty.
    std::string m_target;       ///< The path of the request, which may be followed by a query.
    std::string m_organisation; ///< NAME or DOCUMENT/NAME; may be empty.
    std::string m_key_digest;   ///< SHA-256 in hexadecimal; empty if the request has no key.
    std::optional<std::int64_t> m_timeout_ms;
    bool operator==(const read_explanation&) const = default;
};

/// The command of `GET /metrics`.
struct read_metrics {
    bool operator==(const read_metrics&) const = default;
};

/// A parsed request to the administration API.
using admin_command =
    std::variant<list_documents, read_document, write_document, check_document, read_rollout,
                 list_hosts, declare_host_dead, list_upstreams, list_organisations, read_timeline,
                 read_explanation, read_metrics>;

} // namespace chivevane
