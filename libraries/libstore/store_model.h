#pragma once

#include "libbase/instant.h"
#include "libwire/store_operation.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace chivevane {

/// A key of the in-memory store.
struct modelled_entry {
    store_entry m_entry;            ///< Version 0 means that the key was deleted.
    std::uint64_t m_changed_at = 0; ///< The revision of the store at the last change.
    std::uint64_t m_lease = 0;      ///< The key belongs to no lease if this is 0.
};

/// A lease of the in-memory store.
struct modelled_lease {
    duration m_time_to_live{};
    instant m_expires_at;
};

/// An in-memory model of those parts of the platform's store that hosts use. The store stand-in and
/// the tests use it.
struct store_model {
    std::uint64_t m_era = 1; ///< Rises with each return from an older copy.
    std::uint64_t m_revision = 0;
    std::uint64_t m_last_lease = 0;
    std::map<std::string, modelled_entry, std::less<>> m_entries;
    std::map<std::uint64_t, modelled_lease> m_leases;
};

/// Runs an operation at `now`. A watch returns at once with the changed entries, even if there are
/// none; the caller does the waiting.
store_outcome apply_store_operation(store_model& store, const store_operation& operation,
                                    instant now);

/// Ends the leases that have expired by `now` and deletes their keys.
void expire_leases(store_model& store, instant now);

} // namespace chivevane
