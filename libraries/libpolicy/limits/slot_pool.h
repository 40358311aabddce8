#pragma once

#include "libbase/instant.h"
#include "libpolicy/limits/rate_limit.h"
#include "libwire/host_identity.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chivevane {

/// A share of all organisations in one slot that this host may use now: its own share, or one that
/// another holder leased to it.
struct share_part {
    host_identity m_owner; ///< Holder of the share in the roster.
    std::uint32_t m_units = 0;
    instant m_since; ///< Tokens are refilled from this time on.
    instant m_until; ///< No token is spent or lent from this time on.
};

/// The token bucket of one organisation on a host that has at least a part of its shares.
///
/// `m_tokens` + `m_lent` <= b F at all times, where b is the burst and F the fraction of
/// `total_units` that the parts of the pool hold.
struct organisation_bucket {
    rate_limit m_limit; ///< Limit of the organisation over all hosts.
    double m_tokens = 0;
    /// Tokens lent that may still be unspent; they occupy capacity of the bucket.
    double m_lent = 0;
    instant m_updated_at;
    /// From this time to `m_updated_at` nothing was refilled, since the bucket was full.
    instant m_full_since;
};

/// A transparent hash, which allows lookups of string keys by `std::string_view`.
struct string_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const
    {
        return std::hash<std::string_view>{}(text);
    }
};

/// The units and tokens that this host may use of the organisations in one slot. An organisation
/// without a bucket has all tokens that the parts have refilled.
struct slot_pool {
    std::vector<share_part> m_parts;
    std::uint32_t m_units = 0; ///< Sum of the units of `m_parts`.
    instant m_next_expiry = instant::max();
    std::unordered_map<std::string, organisation_bucket, string_hash, std::equal_to<>> m_buckets;
};

namespace limits {

/// Removes the parts that have expired by `now`. Must be called before any other use of the pool at
/// `now`.
void expire_parts(slot_pool& pool, instant now);

/// Adds a part, which refills tokens from its `m_since` on. `now` must not be earlier than
/// `m_since`.
void add_part(slot_pool& pool, share_part part, instant now);

/// Removes the part of `owner`, and the tokens that exceed the remaining capacity.
void remove_part(slot_pool& pool, const host_identity& owner, instant now);

/// The part of `owner`; null if there is none.
share_part* find_part(slot_pool& pool, const host_identity& owner);

/// Extends the lease of a part to `until`, unless it already ends later.
void extend_part(slot_pool& pool, share_part& part, instant until);

/// Whether all tokens lent now fit into the capacity that remains after `units` are removed.
bool can_release(const slot_pool& pool, std::uint32_t units);

/// The bucket of `organisation`, refilled up to `now` and updated to `limit`. Creates the bucket if
/// there is none.
organisation_bucket& refresh_bucket(slot_pool& pool, std::string_view organisation,
                                    const rate_limit& limit, instant now);

/// Takes `count` tokens for requests that start now on this host. The bucket must hold that many.
void spend(organisation_bucket& bucket, double count);

/// Takes `count` tokens for another host; they keep occupying capacity of the bucket. The bucket
/// must hold that many.
void lend(organisation_bucket& bucket, double count);

/// Releases the capacity of `count` lent tokens that were spent at `spent_by` or earlier, and
/// refills the tokens that would have been refilled since then if their capacity had been free.
void settle_spent(slot_pool& pool, organisation_bucket& bucket, double count, instant spent_by,
                  instant now);

/// Releases the capacity of `count` lent tokens of which it is unknown whether they were spent.
void settle_expired(slot_pool& pool, organisation_bucket& bucket, double count, instant now);

/// Puts `count` lent tokens back into the bucket, which the borrower returned unspent.
void settle_returned(slot_pool& pool, organisation_bucket& bucket, double count, instant now);

/// Time until the bucket holds one whole token. It is capped at one hour, and is one second while
/// nothing is refilled.
duration time_to_token(const slot_pool& pool, const organisation_bucket& bucket);

/// Removes the buckets that hold as many tokens as a newly created bucket would.
void evict_full_buckets(slot_pool& pool, instant now);

} // namespace limits

} // namespace chivevane
