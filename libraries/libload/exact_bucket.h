#pragma once

#include "libbase/instant.h"

#include <algorithm>

namespace chivevane {

/// An exact token bucket. It is the reference that decides whether a request is within the rate
/// limit of an organisation.
struct exact_bucket {
    double m_rate = 0;  ///< The bucket gains this number of tokens per second.
    double m_burst = 0; ///< The bucket holds at most this number of tokens.
    double m_tokens = 0;
    instant m_refilled_at;
};

/// Takes a token at `now`. Returns false if the bucket holds less than one.
inline bool take_exact_token(exact_bucket& bucket, instant now)
{
    const double earned = to_seconds(now - bucket.m_refilled_at) * bucket.m_rate;
    bucket.m_tokens = std::min(bucket.m_burst, bucket.m_tokens + earned);
    bucket.m_refilled_at = now;
    if (bucket.m_tokens < 1) {
        return false;
    }
    bucket.m_tokens -= 1;
    return true;
}

} // namespace chivevane
