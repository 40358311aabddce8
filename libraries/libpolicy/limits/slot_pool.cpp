#include "libpolicy/limits/slot_pool.h"

#include "libpolicy/limits/share.h"

#include <algorithm>
#include <cassert>

namespace chivevane::limits {

namespace {

constexpr double rounding_slack = 1e-6; // In tokens; far above the rounding error of a double.

double fraction_of(const slot_pool& pool)
{
    return static_cast<double>(pool.m_units) / total_units;
}

/// The number of tokens that the bucket may hold in addition to those lent.
double free_capacity_of(const slot_pool& pool, const organisation_bucket& bucket)
{
    return std::max(0.0, bucket.m_limit.m_burst * fraction_of(pool) - bucket.m_lent);
}

double refill_rate(const rate_limit& limit, double fraction)
{
    return limit.m_rate * fraction * (1 - refill_margin);
}

/// Refills the bucket up to `now` at the present fraction, and discards what exceeds the capacity.
void refill(const slot_pool& pool, organisation_bucket& bucket, instant now)
{
    assert(now >= bucket.m_updated_at);
    const double rate = refill_rate(bucket.m_limit, fraction_of(pool));
    const double free_capacity = free_capacity_of(pool, bucket);
    const double refilled = rate * to_seconds(now - bucket.m_updated_at);
    if (bucket.m_tokens + refilled < free_capacity) {
        bucket.m_tokens += refilled;
        bucket.m_full_since = now;
    }
    else {
        if (bucket.m_tokens < free_capacity) {
            const auto fill_time = from_seconds((free_capacity - bucket.m_tokens) / rate) + 1us;
            bucket.m_full_since = std::min(now, bucket.m_updated_at + fill_time);
        }
        bucket.m_tokens = free_capacity;
    }
    bucket.m_updated_at = now;
}

void refill_all(slot_pool& pool, instant now)
{
    for (auto& [organisation, bucket] : pool.m_buckets) {
        refill(pool, bucket, std::max(now, bucket.m_updated_at));
    }
}

void update_sums(slot_pool& pool)
{
    pool.m_units = 0;
    pool.m_next_expiry = instant::max();
    for (const auto& part : pool.m_parts) {
        pool.m_units += part.m_units;
        pool.m_next_expiry = std::min(pool.m_next_expiry, part.m_until);
    }
    assert(pool.m_units <= total_units);
}

/// Erases one part at `at` and reduces every bucket to the capacity that is left.
void erase_part(slot_pool& pool, std::vector<share_part>::iterator part, instant at)
{
    refill_all(pool, at);
    pool.m_parts.erase(part);
    update_sums(pool);
    for (auto& [organisation, bucket] : pool.m_buckets) {
        bucket.m_tokens = std::min(bucket.m_tokens, free_capacity_of(pool, bucket));
        bucket.m_full_since = bucket.m_updated_at;
    }
}

/// The tokens that the parts have refilled for an organisation that has no bucket yet.
double initial_tokens(const slot_pool& pool, const rate_limit& limit, instant now)
{
    double tokens = 0;
    for (const auto& part : pool.m_parts) {
        const double fraction = static_cast<double>(part.m_units) / total_units;
        const double refilled = refill_rate(limit, fraction) * to_seconds(now - part.m_since);
        tokens += std::min(limit.m_burst * fraction, refilled);
    }
    return tokens;
}

bool is_same_as_new(const slot_pool& pool, const organisation_bucket& bucket, instant now)
{
    if (bucket.m_lent > 0 || bucket.m_limit.m_rate <= 0) {
        return false;
    }
    const auto refill_time = from_seconds(bucket.m_limit.m_burst / bucket.m_limit.m_rate * 1.01);
    const bool are_parts_full =
        std::all_of(pool.m_parts.begin(), pool.m_parts.end(),
                    [&](const share_part& part) { return now - part.m_since > refill_time; });
    return are_parts_full && bucket.m_tokens >= free_capacity_of(pool, bucket) - rounding_slack;
}

} // namespace

void expire_parts(slot_pool& pool, instant now)
{
    while (pool.m_next_expiry <= now) {
        const auto first =
            std::min_element(pool.m_parts.begin(), pool.m_parts.end(),
                             [](const auto& a, const auto& b) { return a.m_until < b.m_until; });
        erase_part(pool, first, first->m_until);
    }
}

void add_part(slot_pool& pool, share_part part, instant now)
{
    assert(part.m_since <= now);
    refill_all(pool, now);
    pool.m_parts.push_back(std::move(part));
    update_sums(pool);
}

void remove_part(slot_pool& pool, const host_identity& owner, instant now)
{
    const auto part = std::find_if(pool.m_parts.begin(), pool.m_parts.end(),
                                   [&](const auto& known) { return known.m_owner == owner; });
    if (part != pool.m_parts.end()) {
        erase_part(pool, part, now);
    }
}

share_part* find_part(slot_pool& pool, const host_identity& owner)
{
    const auto part = std::find_if(pool.m_parts.begin(), pool.m_parts.end(),
                                   [&](const auto& known) { return known.m_owner == owner; });
    return part == pool.m_parts.end() ? nullptr : &*part;
}

void extend_part(slot_pool& pool, share_part& part, instant until)
{
    part.m_until = std::max(part.m_until, until);
    update_sums(pool);
}

bool can_release(const slot_pool& pool, std::uint32_t units)
{
    assert(units <= pool.m_units);
    const double left = static_cast<double>(pool.m_units - units) / total_units;
    return std::all_of(pool.m_buckets.begin(), pool.m_buckets.end(), [&](const auto& entry) {
        const auto& bucket = entry.second;
        return bucket.m_lent <= bucket.m_limit.m_burst * left;
    });
}

organisation_bucket& refresh_bucket(slot_pool& pool, std::string_view organisation,
                                    const rate_limit& limit, instant now)
{
    const auto found = pool.m_buckets.find(organisation);
    if (found == pool.m_buckets.end()) {
        const organisation_bucket fresh{limit, initial_tokens(pool, limit, now), 0, now, now};
        return pool.m_buckets.emplace(organisation, fresh).first->second;
    }
    auto& bucket = found->second;
    refill(pool, bucket, now);
    if (bucket.m_limit != limit) {
        bucket.m_limit = limit;
        bucket.m_tokens = std::min(bucket.m_tokens, free_capacity_of(pool, bucket));
        bucket.m_full_since = now;
    }
    return bucket;
}

void spend(organisation_bucket& bucket, double count)
{
    assert(bucket.m_tokens + rounding_slack >= count);
    bucket.m_tokens = std::max(0.0, bucket.m_tokens - count);
    bucket.m_full_since = bucket.m_updated_at;
}

void lend(organisation_bucket& bucket, double count)
{
    assert(bucket.m_tokens + rounding_slack >= count);
    bucket.m_tokens = std::max(0.0, bucket.m_tokens - count);
    bucket.m_lent += count;
}

void settle_spent(slot_pool& pool, organisation_bucket& bucket, double count, instant spent_by,
                  instant now)
{
    refill(pool, bucket, now);
    bucket.m_lent = std::max(0.0, bucket.m_lent - count);
    const auto idle_since = std::max(spent_by, bucket.m_full_since);
    const double rate = refill_rate(bucket.m_limit, fraction_of(pool));
    const double missed_refill = std::max(0.0, rate * to_seconds(now - idle_since));
    const double free_capacity = std::max(0.0, free_capacity_of(pool, bucket) - bucket.m_tokens);
    const double gained = std::min({count, missed_refill, free_capacity});
    bucket.m_tokens += gained;
    bucket.m_full_since = now;
    if (gained < missed_refill) {
        bucket.m_full_since = std::min(now, idle_since + from_seconds(gained / rate) + 1us);
    }
}

void settle_expired(slot_pool& pool, organisation_bucket& bucket, double count, instant now)
{
    refill(pool, bucket, now);
    bucket.m_lent = std::max(0.0, bucket.m_lent - count);
    bucket.m_full_since = now;
}

void settle_returned(slot_pool& pool, organisation_bucket& bucket, double count, instant now)
{
    refill(pool, bucket, now);
    bucket.m_lent = std::max(0.0, bucket.m_lent - count);
    bucket.m_tokens = std::min(bucket.m_tokens + count, free_capacity_of(pool, bucket));
    bucket.m_full_since = now;
}

duration time_to_token(const slot_pool& pool, const organisation_bucket& bucket)
{
    const double rate = refill_rate(bucket.m_limit, fraction_of(pool));
    const double missing = std::max(0.0, 1 - bucket.m_tokens);
    return rate > 0 ? from_seconds(std::min(3600.0, missing / rate)) : duration{1s};
}

void evict_full_buckets(slot_pool& pool, instant now)
{
    expire_parts(pool, now);
    refill_all(pool, now);
    std::erase_if(pool.m_buckets,
                  [&](const auto& entry) { return is_same_as_new(pool, entry.second, now); });
}

} // namespace chivevane::limits
