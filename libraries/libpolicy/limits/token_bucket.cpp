#include "libpolicy/limits/token_bucket.h"

#include <algorithm>

namespace chivevane::limits {

void refill(token_bucket& bucket, double rate, double bound, instant now)
{
    const auto refilled = rate * to_seconds(now - bucket.m_updated_at);
    bucket.m_tokens = std::min(bound, bucket.m_tokens + refilled);
    bucket.m_updated_at = now;
}

duration time_to_token(const token_bucket& bucket, double rate)
{
    constexpr double longest_wait_s = 5;
    const auto missing = 1 - bucket.m_tokens;
    return from_seconds(rate > 0 ? std::min(missing / rate, longest_wait_s) : longest_wait_s);
}

} // namespace chivevane::limits
