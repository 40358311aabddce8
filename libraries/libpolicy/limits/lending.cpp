#include "libpolicy/limits/lending.h"

#include "libpolicy/limits/share_leases.h"
#include "libpolicy/membership/membership.h"

#include <algorithm>
#include <cmath>

namespace chivevane::limits {

namespace {

/// A borrower gets at most this fraction (1 / `prefetch_divisor`) of the remaining tokens for
/// requests that it only expects, so that other borrowers find some.
constexpr std::uint32_t prefetch_divisor = 4;

constexpr double largest_limit = 1e9; // Keeps all sums precise enough in a double.

bool is_plausible(double value)
{
    return std::isfinite(value) && value >= 0 && value <= largest_limit;
}

std::uint32_t tokens_to_lend(const loan_request& request, double tokens)
{
    const auto whole = static_cast<std::uint32_t>(tokens);
    const auto needed = std::min(request.m_needed, whole);
    const auto prefetched = std::min(request.m_prefetch, (whole - needed) / prefetch_divisor);
    return needed + prefetched;
}

void release_capacity(limits_state& state, reducer_context& context, const granted_loan& loan)
{
    const auto rest = loan.m_response.m_tokens - loan.m_spent;
    if (loan.m_phase == loan_phase::closed || rest == 0) {
        return;
    }
    const auto& organisation = loan.m_response.m_organisation;
    auto& pool = usable_pool(state, context, slot_of(organisation));
    if (const auto found = pool.m_buckets.find(organisation); found != pool.m_buckets.end()) {
        settle_expired(pool, found->second, rest, context.m_now);
    }
}

void apply_usage(limits_state& state, reducer_context& context, granted_loan& loan,
                 const loan_usage& usage)
{
    const auto& organisation = loan.m_response.m_organisation;
    auto& pool = usable_pool(state, context, slot_of(organisation));
    const auto found = pool.m_buckets.find(organisation);
    if (found == pool.m_buckets.end() || loan.m_phase == loan_phase::closed) {
        return;
    }
    const auto spent = std::min(usage.m_spent, loan.m_response.m_tokens);
    if (spent > loan.m_spent) {
        const auto age = std::max<std::int64_t>(0, usage.m_last_spent_age_us);
        const auto min_age = from_seconds(static_cast<double>(age) / 1e6 * (1 - timeout_margin));
        settle_spent(pool, found->second, spent - loan.m_spent, context.m_now - min_age,
                     context.m_now);
        loan.m_spent = spent;
    }
    if (usage.m_phase == loan_phase::closed) {
        const auto rest = loan.m_response.m_tokens - loan.m_spent;
        settle_returned(pool, found->second, rest, context.m_now);
        loan.m_phase = loan_phase::closed;
    }
}

} // namespace

void answer_loan_request(limits_state& state, reducer_context& context,
                         const membership_state& members, const host_identity& sender,
                         const loan_request& request)
{
    const auto* const peer = membership::find_member(members, sender.m_name);
    if (peer == nullptr || !is_plausible(request.m_rate) || !is_plausible(request.m_burst)) {
        return;
    }
    const auto& address = peer->m_record.m_address;
    const loan_key key{sender, request.m_loan};
    if (const auto known = state.m_lending.m_loans.find(key);
        known != state.m_lending.m_loans.end()) {
        emit(context, send_datagram{address, known->second.m_response});
        return;
    }
    auto& pool = usable_pool(state, context, slot_of(request.m_organisation));
    loan_response response{request.m_loan, request.m_organisation, 0, pool.m_units, 0};
    if (pool.m_units > 0) {
        const rate_limit limit{request.m_rate, request.m_burst};
        auto& bucket = refresh_bucket(pool, request.m_organisation, limit, context.m_now);
        response.m_tokens = tokens_to_lend(request, bucket.m_tokens);
        response.m_retry_after_us = time_to_token(pool, bucket).count();
        lend(bucket, response.m_tokens);
    }
    if (response.m_tokens > 0) {
        state.m_lending.m_loans[key] = {response};
        state.m_lending.m_expiries.push_back({context.m_now + with_margin(loan_lifetime), key});
    }
    emit(context, send_datagram{address, std::move(response)});
}

void apply_loan_report(limits_state& state, reducer_context& context, const host_identity& sender,
                       const loan_report& report)
{
    for (const auto& usage : report.m_usages) {
        const auto found = state.m_lending.m_loans.find({sender, usage.m_loan});
        if (found != state.m_lending.m_loans.end()) {
            apply_usage(state, context, found->second, usage);
        }
    }
}

void expire_loans(limits_state& state, reducer_context& context)
{
    auto& lending = state.m_lending;
    while (!lending.m_expiries.empty() && lending.m_expiries.front().m_at <= context.m_now) {
        const auto found = lending.m_loans.find(lending.m_expiries.front().m_loan);
        release_capacity(state, context, found->second);
        lending.m_loans.erase(found);
        lending.m_expiries.pop_front();
    }
}

} // namespace chivevane::limits
