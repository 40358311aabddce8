#pragma once

#include "libpolicy/limits/metering_state.h"
#include "libpolicy/membership/membership_state.h"
#include "libpolicy/reducer_context.h"
#include "libwire/token_messages.h"

/// The token buckets of a meter, and the parts of a limit that hosts use without one.
namespace chivevane::limits {

/// Takes a token from the organisation's bucket on this host, which is its meter. The bucket has
/// the part of the limit that corresponds to the part of the fleet that this host reaches.
token_response take_from_bucket(metering_state& state, reducer_context& context,
                                const membership_state& members, const token_request& request);

/// The number of hosts that may decide locally: those that may be running or are registered.
double count_hosts(const membership_state& members);

/// The smallest bucket capacity for local decisions, however small an even fraction of the burst
/// is. In a large fleet it is below one request.
double min_local_burst_of(const reducer_context& context, const membership_state& members);

} // namespace chivevane::limits
