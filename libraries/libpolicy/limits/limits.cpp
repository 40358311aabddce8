#include "libpolicy/limits/limits.h"

#include "libpolicy/limits/borrowing.h"
#include "libpolicy/limits/lending.h"
#include "libpolicy/limits/metering.h"
#include "libpolicy/limits/roster.h"
#include "libpolicy/limits/share_leases.h"

#include <algorithm>
#include <utility>

namespace chivevane::limits {

namespace {

constexpr duration sweep_interval = 10s; // Bounds the memory used for idle organisations.
constexpr std::uint32_t failures_until_store_unavailable = 2;

bool is_metered(const reducer_context& context)
{
    return context.m_settings.m_rate_mode == rate_mode::metered;
}

void sweep(limits_state& state, reducer_context& context)
{
    if (context.m_now < state.m_next_sweep) {
        return;
    }
    state.m_next_sweep = context.m_now + sweep_interval;
    evict_idle_accounts(state, context);
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        evict_full_buckets(usable_pool(state, context, slot), context.m_now);
    }
}

void observe_peer_roster_version(limits_state& state, reducer_context& context,
                                 const host_identity& sender, std::uint64_t version)
{
    auto& known = state.m_holder_lease.m_known_roster_versions[sender];
    known = std::max(known, version);
    observe_roster_version(state, context, version);
}

} // namespace

void start(limits_state& state, reducer_context& context)
{
    if (is_metered(context)) {
        state.m_leases.m_next_round = instant::max();
        state.m_roster.m_next_call = instant::max();
        return;
    }
    state.m_leases.m_next_round = context.m_now;
    state.m_next_sweep = context.m_now + sweep_interval;
    start_roster(state, context);
}

decision take_token(limits_state& state, reducer_context& context, const membership_state& members,
                    std::string_view organisation, const rate_limit& limit,
                    std::uint64_t request_id)
{
    if (is_metered(context)) {
        return take_metered_token(state.m_metering, context, members, organisation, limit,
                                  request_id);
    }
    expire_loans(state, context);
    run_lease_round(state, context, members);
    return acquire_token(state, context, members, organisation, limit, request_id);
}

void cancel_waiting_request(limits_state& state, std::uint64_t request_id)
{
    stop_waiting_for_loan(state, request_id);
    cancel_metered_request(state.m_metering, request_id);
}

std::vector<deferred_decision> take_deferred_decisions(limits_state& state)
{
    auto decisions = std::exchange(state.m_borrowing.m_deferred_decisions, {});
    auto& metered = state.m_metering.m_deferred_decisions;
    decisions.insert(decisions.end(), metered.begin(), metered.end());
    metered.clear();
    return decisions;
}

void on_loan_request(limits_state& state, reducer_context& context, const membership_state& members,
                     const host_identity& sender, const loan_request& request)
{
    expire_loans(state, context);
    answer_loan_request(state, context, members, sender, request);
}

void on_loan_response(limits_state& state, reducer_context& context,
                      const membership_state& members, const host_identity& sender,
                      const loan_response& response)
{
    apply_loan_response(state, context, members, sender, response);
}

void on_loan_report(limits_state& state, reducer_context& context, const host_identity& sender,
                    const loan_report& report)
{
    apply_loan_report(state, context, sender, report);
}

void on_share_lease_request(limits_state& state, reducer_context& context,
                            const membership_state& members, const host_identity& sender,
                            const share_lease_request& request)
{
    observe_peer_roster_version(state, context, sender, request.m_roster_version);
    answer_share_lease_request(state, context, members, sender, request);
}

void on_share_lease_response(limits_state& state, reducer_context& context,
                             const host_identity& sender, const share_lease_response& response)
{
    observe_peer_roster_version(state, context, sender, response.m_roster_version);
    apply_share_lease_response(state, context, sender, response);
}

void on_store_response(limits_state& state, reducer_context& context, std::uint64_t operation_id,
                       const store_outcome& outcome)
{
    on_roster_answer(state, context, operation_id, outcome);
}

void on_timer(limits_state& state, reducer_context& context, const membership_state& members)
{
    if (is_metered(context)) {
        check_metered_requests(state.m_metering, context, members);
        return;
    }
    expire_loans(state, context);
    run_lease_round(state, context, members);
    check_loans(state, context, members);
    report_loans(state, context, members);
    run_roster(state, context, members);
    sweep(state, context);
}

void leave(limits_state& state, reducer_context& context)
{
    if (is_metered(context)) {
        state.m_roster.m_phase = roster_phase::left;
        return;
    }
    leave_roster(state, context);
}

bool has_left(const limits_state& state)
{
    const auto& roster = state.m_roster;
    return roster.m_phase == roster_phase::left ||
           roster.m_failures >= failures_until_store_unavailable;
}

void declare_dead(limits_state& state, reducer_context& context, std::string_view name)
{
    declare_holder_dead(state, context, name);
}

instant next_wakeup(const limits_state& state)
{
    const auto& borrowing = state.m_borrowing;
    const auto& expiries = state.m_lending.m_expiries;
    const auto loan_end = expiries.empty() ? instant::max() : expiries.front().m_at;
    const auto roster_call = state.m_roster.m_call ? instant::max() : state.m_roster.m_next_call;
    return std::min({next_metered_check(state.m_metering), state.m_leases.m_next_round,
                     borrowing.m_next_check, borrowing.m_next_report, loan_end, roster_call});
}

} // namespace chivevane::limits
