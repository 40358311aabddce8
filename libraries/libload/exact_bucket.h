#pragma once

#include "libbase/instant.h"

#include <algorithm>

namespace chivevane {

/// One exact token bucket: the reference for what is inside an organisation's rate.
struct exact_bucket {
    double m_rate = 0;
    double m_burst = 0;
    double m_tokens = 0;
    instant m_filled_at;
};

/// Takes a token at `now` if there is one.
inline bool take_exact_token(exact_bucket& bucket, instant now)
{
    const double earned = to_seconds(now - bucket.m_filled_at) * bucket.m_rate;
    bucket.m_tokens = std::min(bucket.m_burst, bucket.m_tokens + earned);
    bucket.m_filled_at = now;
    if (bucket.m_tokens < 1) {
        return false;
    }
    bucket.m_tokens -= 1;
    return true;
}

} // namespace chivevane
