#pragma once

#include "libbase/result.h"
#include "libpolicy/limits/share.h"
#include "libwire/host_identity.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chivevane {

/// The entry of one holder in the roster.
struct roster_entry {
    host_identity m_host;
    std::uint32_t m_units = 0;
    /// Chosen by the holder; holder_lease.h tells their role.
    std::vector<host_identity> m_witnesses;
    /// Version of the record that marked the entry for removal; 0 if it is not marked.
    std::uint64_t m_removal_version = 0;

    bool operator==(const roster_entry&) const = default;
};

/// The assignment of units to holders, which is the same for all organisations. The units of all
/// entries and the free units add up to `total_units`.
struct roster_record {
    std::uint32_t m_free_units = total_units;
    std::vector<roster_entry> m_entries; ///< Sorted by host identity.

    bool operator==(const roster_record&) const = default;
};

namespace limits {

/// The JSON text of `record` that is written to the store.
std::string encode_roster(const roster_record& record);

/// Parses the text that `encode_roster` wrote. Fails with `malformed` if the text is invalid or its
/// units do not add up to `total_units`.
result<roster_record> decode_roster(std::string_view text);

/// The entry of `host`; null if there is none.
const roster_entry* find_entry(const roster_record& record, const host_identity& host);

/// Adds an entry without units for `host`, unless it has one.
void add_entry(roster_record& record, const host_identity& host);

/// Removes the entry of `host`; its units become free.
void remove_entry(roster_record& record, const host_identity& host);

/// Lowers the entry of `host` to `units`; the difference becomes free.
void release_units(roster_record& record, const host_identity& host, std::uint32_t units);

/// Marks the entry of `host` for removal in the record of version `removal_version`; 0 clears the
/// mark.
void set_removal_version(roster_record& record, const host_identity& host,
                         std::uint64_t removal_version);

/// Replaces the witnesses of `host`.
void assign_witnesses(roster_record& record, const host_identity& host,
                      std::vector<host_identity> witnesses);

/// Assigns all free units to the entries with the fewest units, so that the result is as even as
/// possible.
void distribute_free_units(roster_record& record);

} // namespace limits

} // namespace chivevane
