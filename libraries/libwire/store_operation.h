#pragma once

#include "libbase/instant.h"
#include "libwire/store_position.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace chivevane {

/// A key of the platform's key-value store with its value and version.
struct store_entry {
    std::string m_key;
    std::string m_value;
    std::uint64_t m_version = 0; ///< Increases with every write; 0 means that the key is absent.

    bool operator==(const store_entry&) const = default;
};

/// Consistency of a read. A `latest` read reflects all earlier writes; a `recent` read may be stale
/// and is cheaper in some stores.
enum class read_consistency : std::uint8_t { latest, recent };

/// The newest document that a host has in force when it calls the store.
struct known_document {
    std::uint64_t m_revision = 0; ///< 0 if there is none.
    std::string m_edit_id;
    std::uint64_t m_text_hash = 0; ///< `stable_hash` of the text.

    bool operator==(const known_document&) const = default;
};

/// Reads all keys that begin with `m_prefix`.
struct store_read {
    std::string m_prefix;
    read_consistency m_consistency = read_consistency::latest;
    known_document m_known; ///< Set for reads of documents.
    bool operator==(const store_read&) const = default;
};

/// Writes `m_value` if the current version of the key is `m_expected_version`, where 0 means that
/// the key is absent. With a lease, the store deletes the key when the lease expires.
struct store_compare_and_swap {
    std::string m_key;
    std::uint64_t m_expected_version = 0;
    std::string m_value;
    std::uint64_t m_lease = 0; ///< Id of the lease; 0 means none.
    bool operator==(const store_compare_and_swap&) const = default;
};

/// Requests a new lease that expires after `m_time_to_live`.
struct store_grant_lease {
    duration m_time_to_live{};
    bool operator==(const store_grant_lease&) const = default;
};

/// Renews a lease for its full time to live.
struct store_renew_lease {
    std::uint64_t m_lease = 0;
    bool operator==(const store_renew_lease&) const = default;
};

/// Revokes a lease, which deletes the keys attached to it.
struct store_revoke_lease {
    std::uint64_t m_lease = 0;
    bool operator==(const store_revoke_lease&) const = default;
};

/// Waits until a key with the prefix `m_prefix` changes after the store revision
/// `m_after_revision`, or until `m_timeout`. The store returns all entries with the prefix that
/// changed since that revision.
struct store_watch {
    std::string m_prefix;
    std::uint64_t m_after_revision = 0;
    duration m_timeout{};
    known_document m_known; ///< Set for watches of documents.
    bool operator==(const store_watch&) const = default;
};

using store_operation = std::variant<store_read, store_compare_and_swap, store_grant_lease,
                                     store_renew_lease, store_revoke_lease, store_watch>;

/// Result of a read or a watch.
struct store_entries {
    std::uint64_t m_revision = 0;       ///< The next watch begins after it; 0 if it cannot.
    std::vector<store_entry> m_entries; ///< Deleted keys have version 0.
    store_position m_position;          ///< Where the store stood when it answered.
    bool operator==(const store_entries&) const = default;
};

/// Result of a write that took effect.
struct store_written {
    std::uint64_t m_version = 0; ///< New version of the key.
    bool operator==(const store_written&) const = default;
};

/// Result of a write that was rejected because the key has another version than expected. Nothing
/// was changed.
struct store_conflict {
    store_entry m_current;
    bool operator==(const store_conflict&) const = default;
};

/// Result of granting or renewing a lease.
struct store_lease {
    std::uint64_t m_lease = 0;
    duration m_time_to_live{};
    bool operator==(const store_lease&) const = default;
};

/// The lease no longer exists.
struct store_lease_not_found {
    bool operator==(const store_lease_not_found&) const = default;
};

/// What is known about an operation that received no response.
enum class store_failure_kind : std::uint8_t {
    not_done, ///< No connection could be established, so the operation had no effect.
    unknown,  ///< The operation may or may not have taken effect.
};

/// The store returned no usable response.
struct store_failure {
    store_failure_kind m_kind = store_failure_kind::unknown;
    std::string m_detail;
    bool operator==(const store_failure&) const = default;
};

using store_outcome = std::variant<store_entries, store_written, store_conflict, store_lease,
                                   store_lease_not_found, store_failure>;

} // namespace chivevane
