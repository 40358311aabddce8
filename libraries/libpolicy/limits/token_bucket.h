#pragma once

#include "libbase/instant.h"

namespace chivevane {

/// Tokens that are refilled at a rate up to a bound, both given by the caller.
struct token_bucket {
    double m_tokens = 0;
    instant m_updated_at;
};

} // namespace chivevane

namespace chivevane::limits {

/// Adds the tokens for the time since the last call, at `rate` tokens a second and up to `bound`.
void refill(token_bucket& bucket, double rate, double bound, instant now);

/// Returns the time until the bucket holds a token, at most some seconds.
duration time_to_token(const token_bucket& bucket, double rate);

} // namespace chivevane::limits
