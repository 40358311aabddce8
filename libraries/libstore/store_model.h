#pragma once

#include "libbase/instant.h"
#include "libwire/store_operation.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace chivevane {

/// One key in the model.
struct modelled_entry {
    store_entry m_entry;            ///< Version 0: deleted.
    std::uint64_t m_changed_at = 0; ///< Revision of the store at its last change.
    std::uint64_t m_lease = 0;
};

/// One lease in the model.
struct modelled_lease {
    duration m_time_to_live{};
    instant m_expires_at;
};

/// The platform's store, as far as the system uses it, in memory: for the stand-in and for tests.
struct store_model {
    std::uint64_t m_revision = 0;
    std::uint64_t m_last_lease = 0;
    std::map<std::string, modelled_entry, std::less<>> m_entries;
    std::map<std::uint64_t, modelled_lease> m_leases;
};

/// Runs an operation at `now`. A watch answers at once with what changed, perhaps nothing: waiting
/// is up to the caller.
store_outcome apply_store_operation(store_model& store, const store_operation& operation,
                                    instant now);

/// Deletes the keys of leases that have lapsed by `now`.
void expire_leases(store_model& store, instant now);

} // namespace chivevane
