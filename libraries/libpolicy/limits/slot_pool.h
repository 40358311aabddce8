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

/// A share of all organisations in one slot that this host may use now.
struct share_part {
    host_identity m_owner; ///< Who holds the share in the roster.
    std::uint32_t m_units = 0;
    instant m_since; ///< Tokens are earned from here on.
    instant m_until; ///< No token is given out from here on.
};

/// The tokens of one organisation at the host that has (part of) its shares.
///
/// With b the burst and F the fraction of the parts, `m_tokens` + `m_lent` <= b F at all times.
struct organisation_bucket {
    rate_limit m_limit; ///< Of the organisation over all hosts.
    double m_tokens = 0;
    double m_lent = 0; ///< Tokens lent that may still be unspent; they occupy room.
    instant m_updated_at;
    instant m_blocked_since; ///< Nothing was earned from here to `m_updated_at` for lack of room.
};

/// Hashes both owned keys and views of keys.
struct string_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const
    {
        return std::hash<std::string_view>{}(text);
    }
};

/// What this host may use of the organisations in one slot. An organisation without a bucket has
/// all that its parts could earn.
struct slot_pool {
    std::vector<share_part> m_parts;
    std::uint32_t m_units = 0; ///< Sum over the parts.
    instant m_next_expiry = instant::max();
    std::unordered_map<std::string, organisation_bucket, string_hash, std::equal_to<>> m_buckets;
};

namespace limits {

/// Drops the parts that ended by `now`. Must come before any other use of the pool at `now`.
void expire_parts(slot_pool& pool, instant now);

/// Adds a part, which earns from its `m_since` on; `now` is not earlier.
void add_part(slot_pool& pool, share_part part, instant now);

/// Ends the part of `owner` now, with the tokens it stood for.
void remove_part(slot_pool& pool, const host_identity& owner, instant now);

/// The part of `owner`; null if there is none.
share_part* find_part(slot_pool& pool, const host_identity& owner);

/// Extends a part to `until`.
void extend_part(slot_pool& pool, share_part& part, instant until);

/// Whether all tokens now lent fit into what remains after `units` are taken away.
bool can_spare(const slot_pool& pool, std::uint32_t units);

/// The bucket of `organisation`, with all that was earned up to `now`.
organisation_bucket& touch_bucket(slot_pool& pool, std::string_view organisation,
                                  const rate_limit& limit, instant now);

/// Takes `count` tokens, which must be there, for requests that start now on this host.
void spend(organisation_bucket& bucket, double count);

/// Takes `count` tokens, which must be there, for another host; they keep their room.
void lend(organisation_bucket& bucket, double count);

/// Frees the room of `count` lent tokens that were spent at `spent_by` or before, and earns what
/// had been earned since if their room had been free then.
void settle_spent(slot_pool& pool, organisation_bucket& bucket, double count, instant spent_by,
                  instant now);

/// Frees the room of `count` lent tokens whose fate is not known.
void settle_lapsed(slot_pool& pool, organisation_bucket& bucket, double count, instant now);

/// Puts `count` lent tokens back that the borrower gave up unspent.
void settle_returned(slot_pool& pool, organisation_bucket& bucket, double count, instant now);

/// Time until one whole token will be there.
duration time_to_token(const slot_pool& pool, const organisation_bucket& bucket);

/// Forgets the buckets that are as full as untouched ones.
void forget_full_buckets(slot_pool& pool, instant now);

} // namespace limits

} // namespace chivevane
