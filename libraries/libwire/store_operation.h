#pragma once

#include "libbase/instant.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace chivevane {

/// One key of the platform's store.
struct store_entry {
    std::string m_key;
    std::string m_value;
    std::uint64_t m_version = 0; ///< Grows with every write of the key; 0 means absent.

    bool operator==(const store_entry&) const = default;
};

/// Whether a read has to show all writes before it. One that does not is cheaper in some stores.
enum class read_freshness : std::uint8_t { latest, recent };

/// Reads all keys that begin with `m_prefix`.
struct store_read {
    std::string m_prefix;
    read_freshness m_freshness = read_freshness::latest;
    bool operator==(const store_read&) const = default;
};

/// Writes `m_value` if the key still has `m_expected_version` (0: if it is absent). With a lease,
/// the key is deleted when the lease lapses.
struct store_compare_and_swap {
    std::string m_key;
    std::uint64_t m_expected_version = 0;
    std::string m_value;
    std::uint64_t m_lease = 0; ///< 0 means none.
    bool operator==(const store_compare_and_swap&) const = default;
};

/// Asks for a lease of length `m_time_to_live`.
struct store_grant_lease {
    duration m_time_to_live{};
    bool operator==(const store_grant_lease&) const = default;
};

/// Renews a lease for its whole length.
struct store_renew_lease {
    std::uint64_t m_lease = 0;
    bool operator==(const store_renew_lease&) const = default;
};

/// Ends a lease and deletes its keys.
struct store_revoke_lease {
    std::uint64_t m_lease = 0;
    bool operator==(const store_revoke_lease&) const = default;
};

/// Waits until the store's revision passes `m_after_revision` for a key with this prefix, or until
/// `m_timeout`; answers with all entries below the prefix that changed since.
struct store_watch {
    std::string m_prefix;
    std::uint64_t m_after_revision = 0;
    duration m_timeout{};
    bool operator==(const store_watch&) const = default;
};

using store_operation = std::variant<store_read, store_compare_and_swap, store_grant_lease,
                                     store_renew_lease, store_revoke_lease, store_watch>;

/// Entries of a read or a watch, with the store's revision at that moment.
struct store_entries {
    std::uint64_t m_revision = 0;
    std::vector<store_entry> m_entries; ///< Deleted keys come with version 0.
    bool operator==(const store_entries&) const = default;
};

/// A write took effect.
struct store_written {
    std::uint64_t m_version = 0;
    bool operator==(const store_written&) const = default;
};

/// A write lost: the key has another version. Nothing was changed.
struct store_conflict {
    store_entry m_current;
    bool operator==(const store_conflict&) const = default;
};

/// A lease was granted or renewed.
struct store_lease {
    std::uint64_t m_lease = 0;
    duration m_time_to_live{};
    bool operator==(const store_lease&) const = default;
};

/// The lease does not exist any more.
struct store_lease_lost {
    bool operator==(const store_lease_lost&) const = default;
};

/// How much is known about an operation whose answer is missing.
enum class store_failure_kind : std::uint8_t {
    not_done, ///< The connection could not be made: nothing happened.
    unknown,  ///< A write may or may not have taken effect.
};

/// No usable answer came from the store.
struct store_failure {
    store_failure_kind m_kind = store_failure_kind::unknown;
    std::string m_detail;
    bool operator==(const store_failure&) const = default;
};

using store_outcome = std::variant<store_entries, store_written, store_conflict, store_lease,
                                   store_lease_lost, store_failure>;

} // namespace chivevane
