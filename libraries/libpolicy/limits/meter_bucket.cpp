#include "libpolicy/limits/meter_bucket.h"

#include "libpolicy/limits/meter_reach.h"
#include "libpolicy/limits/token_bucket.h"
#include "libpolicy/membership/possible_hosts.h"

#include <algorithm>

namespace chivevane::limits {

namespace {

/// A new meter starts with this fraction of the burst, since it knows nothing of the requests that
/// started just before.
constexpr double initial_fill_fraction = 0.4;

/// Fraction of the permitted slack that one meter admits beyond the burst, since callers' bursts
/// arrive closer together than they were sent. The rest is left for the meters that replace it.
constexpr double slack_fraction_per_meter = 0.25;

/// Number of requests that a host may start at once while no meter answers, if slack is permitted.
constexpr double min_local_burst = 2;

/// Bound on the sum of these requests over all hosts, relative to the permitted slack.
constexpr double min_local_bursts_per_slack = 2;

/// A meter finds out which part of the fleet it reaches while a bucket has less than this fraction
/// of the burst.
constexpr double low_fill_fraction = 0.2;

/// Time over which the permitted slack is meant.
constexpr duration slack_window = 5s;

/// The number of requests that one meter admits beyond the burst.
double meter_slack(const reducer_context& context)
{
    return context.m_settings.m_rate_slack * slack_fraction_per_meter;
}

/// Whether the tokens of a bucket run so short that meters of two parts of a partitioned fleet may
/// together exceed the limit. Where the slack covers the whole limit they may not.
bool needs_reach(const reducer_context& context, const token_request& request, double tokens)
{
    const auto granted_in_window = request.m_burst + request.m_rate * to_seconds(slack_window);
    return granted_in_window > context.m_settings.m_rate_slack &&
           tokens < request.m_burst * low_fill_fraction;
}

/// The limit that one meter enforces: the part of the whole one that corresponds to the part of the
/// fleet that it reaches.
struct meter_limit {
    double m_share = 1;
    double m_rate = 0;
    double m_initial_tokens = 0; ///< Tokens of a new bucket.
    double m_capacity = 0;       ///< Tokens that the bucket holds at most.
    double m_whole_capacity = 0; ///< The capacity if the meter reaches the whole fleet.
};

meter_limit meter_limit_of(metering_state& state, reducer_context& context,
                           const membership_state& members, const token_request& request)
{
    const auto slack = meter_slack(context);
    const auto smallest = std::min<double>(request.m_burst, min_local_burst_of(context, members));
    meter_limit limit;
    limit.m_share = reached_share(state.m_reach, context, members);
    limit.m_rate = request.m_rate * limit.m_share;
    limit.m_initial_tokens = (request.m_burst * initial_fill_fraction + slack) * limit.m_share;
    limit.m_whole_capacity = request.m_burst + slack;
    limit.m_capacity = std::max(smallest, limit.m_whole_capacity * limit.m_share);
    return limit;
}

/// Updates the part of the limit that a bucket has. If it shrinks, the tokens become those that the
/// bucket would have if it had always been so small, as another part of the fleet has had the rest.
void update_share(metered_bucket& bucket, const meter_limit& limit)
{
    if (limit.m_share < bucket.m_share) {
        bucket.m_bucket.m_tokens -= (bucket.m_share - limit.m_share) * limit.m_whole_capacity;
    }
    bucket.m_share = limit.m_share;
}

metered_bucket& find_or_add_bucket(metering_state& state, std::string_view organisation,
                                   const meter_limit& limit, instant now)
{
    auto& buckets = state.m_metered_buckets;
    if (const auto found = buckets.find(organisation); found != buckets.end()) {
        return found->second;
    }
    const metered_bucket added{{limit.m_initial_tokens, now}, limit.m_share};
    return buckets.emplace(organisation, added).first->second;
}

} // namespace

token_response take_from_bucket(metering_state& state, reducer_context& context,
                                const membership_state& members, const token_request& request)
{
    const auto limit = meter_limit_of(state, context, members, request);
    auto& metered = find_or_add_bucket(state, request.m_organisation, limit, context.m_now);
    auto& bucket = metered.m_bucket;
    update_share(metered, limit);
    refill(bucket, limit.m_rate, limit.m_capacity, context.m_now);
    bucket.m_tokens -= request.m_locally_admitted;
    if (needs_reach(context, request, bucket.m_tokens)) {
        require_reach(state.m_reach, context.m_now);
    }
    if (bucket.m_tokens < 1) {
        const auto wait = to_milliseconds(time_to_token(bucket, limit.m_rate));
        return {request.m_id, token_decision::refused, static_cast<std::uint32_t>(wait)};
    }
    bucket.m_tokens -= 1;
    return {request.m_id, token_decision::granted, 0};
}

double count_hosts(const membership_state& members)
{
    return static_cast<double>(std::max(membership::count_possible_hosts(members),
                                        members.m_registration.m_registered.size() + 1));
}

double min_local_burst_of(const reducer_context& context, const membership_state& members)
{
    const auto even_part =
        context.m_settings.m_rate_slack * min_local_bursts_per_slack / count_hosts(members);
    return std::min(min_local_burst, even_part);
}

} // namespace chivevane::limits
