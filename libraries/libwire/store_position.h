#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace chivevane {

/// A point in the history of the store. A store that comes back from an older copy starts a new
/// era, in which it gives out revisions again. All that is numbered by the store is ordered by the
/// era first.
struct store_position {
    std::uint64_t m_era = 0;      ///< 0 until a return is known, or if the store names none.
    std::uint64_t m_revision = 0; ///< 0 if it is unknown.
    auto operator<=>(const store_position&) const = default;
};

/// Number of low bits of an encoded position that hold the revision. The era takes the bits above,
/// so that encoded positions have the order of the positions.
constexpr unsigned encoded_revision_bits = 40;
constexpr std::uint64_t largest_encoded_revision = (std::uint64_t{1} << encoded_revision_bits) - 1;

/// Returns `position` as one number, in the form in which documents carry it. Builds that know no
/// eras compare these numbers as well.
constexpr std::uint64_t encode_position(const store_position& position)
{
    return (position.m_era << encoded_revision_bits) |
           (position.m_revision & largest_encoded_revision);
}

constexpr store_position decode_position(std::uint64_t encoded)
{
    return {encoded >> encoded_revision_bits, encoded & largest_encoded_revision};
}

/// Returns an encoded position for the log: the revision, with the era and a colon in front if
/// there is one.
std::string describe_position(std::uint64_t encoded);

} // namespace chivevane
