#include "libpolicy/limits/limits.h"

#include <algorithm>

namespace chivevane::limits {

namespace {

/// Hosts that share the limit: all that were ever heard of, since the dead may still spend.
double count_sharers(const membership_state& members)
{
    return static_cast<double>(std::max<std::size_t>(1, members.m_members.size()));
}

} // namespace

void start(limits_state&, context&) {}

verdict take_token(limits_state& state, context& surroundings, const membership_state& members,
                   std::string_view organisation, const rate_limit& limit, std::uint64_t)
{
    const double sharers = count_sharers(members);
    auto found = state.m_buckets.find(organisation);
    if (found == state.m_buckets.end()) {
        const local_bucket full{limit, limit.m_burst / sharers, surroundings.m_now};
        found = state.m_buckets.emplace(organisation, full).first;
    }
    auto& bucket = found->second;
    const double earned =
        to_seconds(surroundings.m_now - bucket.m_filled_at) * limit.m_rate / sharers;
    bucket.m_tokens = std::min(limit.m_burst / sharers, bucket.m_tokens + earned);
    bucket.m_filled_at = surroundings.m_now;
    bucket.m_limit = limit;
    if (bucket.m_tokens >= 1) {
        bucket.m_tokens -= 1;
        return granted{};
    }
    return refused{from_seconds((1 - bucket.m_tokens) * sharers / std::max(limit.m_rate, 0.001))};
}

void withdraw_ticket(limits_state&, std::uint64_t) {}

std::vector<settled_ticket> take_settled(limits_state&)
{
    return {};
}

void on_loan_request(limits_state&, context&, const membership_state&, const host_identity&,
                     const loan_request&)
{
}

void on_loan_response(limits_state&, context&, const membership_state&, const host_identity&,
                      const loan_response&)
{
}

void on_store_response(limits_state&, context&, std::uint64_t, const store_outcome&) {}

void on_timer(limits_state&, context&, const membership_state&) {}

void leave(limits_state&, context&) {}

instant next_wakeup(const limits_state&)
{
    return instant::max();
}

} // namespace chivevane::limits
