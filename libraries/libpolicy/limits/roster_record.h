#pragma once

#include "libbase/result.h"
#include "libpolicy/limits/share.h"
#include "libwire/host_identity.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chivevane {

/// One holder of a share.
struct roster_entry {
    host_identity m_host;
    std::uint32_t m_units = 0;
    std::vector<host_identity> m_witnesses; ///< Chosen by the holder; see authority.h.
    std::uint64_t m_mark = 0; ///< Version of the record that marked it for removal; 0 means none.

    bool operator==(const roster_entry&) const = default;
};

/// Who holds which share of all organisations. The units of all entries and the free ones add up to
/// `total_units`.
struct roster_record {
    std::uint32_t m_free_units = total_units;
    std::vector<roster_entry> m_entries; ///< Ordered by host.

    bool operator==(const roster_record&) const = default;
};

namespace limits {

/// The JSON text of `record`, as the store keeps it.
std::string encode_roster(const roster_record& record);

/// Reads what `encode_roster` wrote. Fails with `malformed`, also if the sum is not `total_units`.
result<roster_record> decode_roster(std::string_view text);

/// The entry of `host`; null if there is none.
const roster_entry* find_entry(const roster_record& record, const host_identity& host);

/// Adds an entry without units, if there is none.
void add_entry(roster_record& record, const host_identity& host);

/// Removes the entry of `host`; its units become free.
void remove_entry(roster_record& record, const host_identity& host);

/// Lowers the entry of `host` to `units`; the difference becomes free.
void release_units(roster_record& record, const host_identity& host, std::uint32_t units);

/// Marks the entry of `host` for removal by the record of version `mark`; 0 takes the mark off.
void mark_entry(roster_record& record, const host_identity& host, std::uint64_t mark);

/// Replaces the witnesses of `host`.
void assign_witnesses(roster_record& record, const host_identity& host,
                      std::vector<host_identity> witnesses);

/// Gives all free units to the hosts with the least, as evenly as that allows.
void distribute_free_units(roster_record& record);

} // namespace limits

} // namespace chivevane
